export * from './check-history.js';
export * from './checks/index.js';
export * from './history-event.js';
export * from './history.js';
export * from './promise.js';

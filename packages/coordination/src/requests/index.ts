export * from './agent-events.js';
export * from './agent-options.js';
export * from './agent-exchanges.js';
export * from './entry-events.js';
export * from './entry-options.js';
export * from './entry-requests.js';
export * from './answer-cache.js';
export * from './pending-request.js';

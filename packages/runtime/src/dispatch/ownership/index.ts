export * from './advisor-port.js';
export * from './lease-clock.js';
export * from './owner-process-options.js';
export * from './owner-process.js';

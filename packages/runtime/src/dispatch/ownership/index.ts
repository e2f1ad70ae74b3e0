export * from './advisor-port.js';
export * from './lease-clock.js';
export * from './owner-process.js';

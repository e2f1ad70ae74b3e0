export * from './agent-daemon.js';
export * from './daemon.js';
export * from './entry-daemon.js';
export * from './run-daemon.js';

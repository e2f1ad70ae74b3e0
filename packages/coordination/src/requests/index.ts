export * from './agent-events.js';
export * from './entry-events.js';

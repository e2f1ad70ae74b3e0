export * from './agent-process-events.js';
export * from './agent-process.js';

export * from './agent-process.js';

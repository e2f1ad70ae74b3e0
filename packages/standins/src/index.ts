export * from './process/index.js';
export * from './worker/index.js';

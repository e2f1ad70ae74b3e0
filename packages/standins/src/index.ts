export * from './callers/index.js';
export * from './process/index.js';
export * from './store/index.js';
export * from './worker/index.js';

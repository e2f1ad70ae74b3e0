export * from './process/index.js';
export * from './worker/index.js';
export * from './store/index.js';

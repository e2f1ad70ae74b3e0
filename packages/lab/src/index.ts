export * from './harness/index.js';

export * from './cell-ownership.js';
export * from './events.js';

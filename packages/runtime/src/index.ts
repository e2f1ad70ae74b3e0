export * from './control/index.js';
export * from './store/index.js';

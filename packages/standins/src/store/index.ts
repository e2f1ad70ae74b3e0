export * from './store-faults.js';
export * from './store-server.js';
export * from './store-state.js';

export * from './evacuation-source.js';
export * from './record-store.js';
export * from './record-watch.js';
export * from './store-keys.js';

export * from './configuration-store.js';
export * from './store-client.js';

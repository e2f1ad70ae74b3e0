export * from './store-client.js';

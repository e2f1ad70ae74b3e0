export * from './worker-client.js';

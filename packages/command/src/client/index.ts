export * from './entry-client.js';

export * from './process-address.js';

export * from './entry-process.js';

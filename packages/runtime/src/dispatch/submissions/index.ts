export * from './submission-calls.js';
export * from './submission-service.js';

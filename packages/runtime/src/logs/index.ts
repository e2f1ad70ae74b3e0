export * from './bounded-stream.js';
export * from './logger.js';

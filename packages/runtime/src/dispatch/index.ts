export * from './agent/index.js';
export * from './decision-logger.js';
export * from './entry/index.js';
export * from './links/index.js';
export * from './ownership/index.js';
export * from './records/index.js';
export * from './submissions/index.js';

export * from './colocation/index.js';
export * from './configuration/index.js';
export * from './findings/index.js';
export * from './messages/index.js';
export * from './ownership/index.js';
export * from './reducer.js';
export * from './tasks/index.js';
export * from './time/index.js';

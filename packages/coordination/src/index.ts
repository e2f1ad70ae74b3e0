export * from './configuration/index.js';
export * from './findings/index.js';
export * from './messages/index.js';
export * from './reducer.js';
export * from './time/index.js';
export * from './timeline/index.js';

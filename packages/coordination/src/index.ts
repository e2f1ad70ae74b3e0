export * from './agent/index.js';
export * from './configuration/index.js';
export * from './entry/index.js';
export * from './findings/index.js';
export * from './messages/index.js';
export * from './reducer.js';
export * from './requests/index.js';
export * from './time/index.js';

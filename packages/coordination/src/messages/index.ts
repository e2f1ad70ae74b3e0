export * from './control.js';
export * from './data.js';
export * from './identity.js';

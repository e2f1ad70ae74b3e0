export * from './backend-view.js';
export * from './entry-connections.js';
export * from './forward-window.js';
export * from './host-view.js';
export * from './peer-view.js';

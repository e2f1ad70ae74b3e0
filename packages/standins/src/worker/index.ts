export * from './announcer.js';
export * from './backend-server.js';
export * from './failure-modes.js';
export * from './event-recorder.js';
export * from './task-table.js';
export * from './worker-api.js';
export * from './worker-settings.js';

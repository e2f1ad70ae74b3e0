export * from './backlog-messages.js';
export * from './entry-messages.js';
export * from './link.js';

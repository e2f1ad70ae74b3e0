export * from './announcements.js';
export * from './backend-client.js';
export * from './exchange.js';

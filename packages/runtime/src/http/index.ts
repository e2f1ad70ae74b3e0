export * from './caller-server.js';
export * from './control-server.js';
export * from './forwarded-headers.js';

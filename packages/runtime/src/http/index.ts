export * from './caller-front.js';
export * from './control-server.js';
export * from './forwarded-headers.js';

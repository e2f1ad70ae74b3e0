export * from './peer-connection.js';
export * from './peer-handlers.js';
export * from './peer-network.js';

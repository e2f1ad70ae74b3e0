export * from './entry-node.js';
export * from './entry-peers.js';

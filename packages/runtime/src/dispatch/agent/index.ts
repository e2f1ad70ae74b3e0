export * from './acknowledgement-pause.js';
export * from './agent-node.js';
export * from './owner-search.js';
export * from './worker-commands.js';
export * from './worker-port.js';
export * from './worker-presence.js';
export * from './agent-node-options.js';

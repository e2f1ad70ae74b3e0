export * from './event-queue.js';
export * from './random-source.js';
export * from './virtual-cell.js';
export * from './virtual-host.js';
export * from './virtual-store.js';
export * from './virtual-worker.js';
export * from './virtual-entry.js';
export * from './virtual-fleet.js';

export * from './caller-load.js';
export * from './model-backend.js';
export * from './model-network.js';
export * from './request-fleet.js';
export * from './window-statistics.js';
export * from './virtual-loop.js';

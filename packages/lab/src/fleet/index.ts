export * from './configuration-fleet.js';
export * from './fleet-process.js';
export * from './fleet-store.js';
export * from './fleet-traffic.js';
export * from './virtual-time.js';

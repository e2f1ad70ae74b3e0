export * from './interaction.js';
export * from './seeded-random.js';
export * from './simulated-backend.js';
export * from './simulated-network.js';
export * from './simulated-process.js';
export * from './simulated-store.js';
export * from './simulated-worker.js';
export * from './simulation.js';

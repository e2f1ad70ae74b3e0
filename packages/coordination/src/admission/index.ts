export * from './fair-queue.js';
export * from './learned-limit.js';
export * from './retry-budget.js';
export * from './shares.js';
export * from './queue-order.js';

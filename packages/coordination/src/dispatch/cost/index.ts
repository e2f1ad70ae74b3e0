export * from './admission-decision.js';
export * from './cost-order.js';
export * from './filling-throughput.js';
export * from './preference.js';
export * from './queue-work.js';
export * from './stop-cost.js';
export * from './submission-value.js';
export * from './waiting-curve.js';

export * from './colocation-policy.js';
export * from './pair-interference-model.js';
export * from './colocated-load-history.js';

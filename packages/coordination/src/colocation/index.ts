export * from './colocation-policy.js';
export * from './disturbance-model.js';
export * from './presence-history.js';

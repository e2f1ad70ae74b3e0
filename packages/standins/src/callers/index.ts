export * from './balancer.js';
export * from './load-generator.js';

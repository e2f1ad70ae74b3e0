export * from './experiment.js';
export * from './report.js';
export * from './sizes.js';
export * from './slope.js';

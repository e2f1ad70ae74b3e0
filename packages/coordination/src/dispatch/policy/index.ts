export * from './admission.js';
export * from './filler-pacer.js';
export * from './interference-model.js';
export * from './placement-round.js';
export * from './queue-backlogs.js';
export * from './run-supervisor.js';
export * from './submission-order.js';
export * from './worker-selector.js';

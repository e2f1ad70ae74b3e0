export * from './admission-level.js';
export * from './filler-pacing.js';
export * from './interference.js';
export * from './placement-round.js';
export * from './run-supervision.js';
export * from './submission-order.js';
export * from './worker-choice.js';

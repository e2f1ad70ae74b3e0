export * from './cell-ownership.js';
export * from './events.js';
export * from './owner-election.js';
export * from './claim-delay.js';
export * from './successor-choice.js';

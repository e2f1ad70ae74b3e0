export * from './check-submission.js';
export * from './objective.js';
export * from './progress.js';
export * from './queue-index.js';
export * from './submission-bytes.js';
export * from './submission.js';

export * from './entry-process-events.js';
export * from './entry-process.js';
export * from './finished-jobs.js';
export * from './scheduled-cell.js';

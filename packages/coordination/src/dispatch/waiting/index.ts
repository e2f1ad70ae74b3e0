export * from './stalled-submissions.js';
export * from './wait-explanation.js';

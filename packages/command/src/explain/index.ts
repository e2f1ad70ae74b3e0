export * from './log-line.js';
export * from './submission-story.js';

export * from './hybrid-clock.js';
export * from './merge.js';
export * from './timeline-buffer.js';
export * from './timeline-event.js';
export * from './trace-events.js';

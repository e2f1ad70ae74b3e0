export * from './loop.js';
export * from './system-clock.js';
export * from './ticker.js';

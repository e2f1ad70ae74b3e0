export * from './loop.js';
export * from './system-clock.js';

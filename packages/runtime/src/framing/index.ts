export * from './body-assembler.js';
export * from './compact-record.js';
export * from './frame-decoder.js';
export * from './frame-error.js';
export * from './frame-limits.js';
export * from './message-checks.js';
export * from './message-codec.js';

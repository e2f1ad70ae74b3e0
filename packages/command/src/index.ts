export * from './command-context.js';
export * from './exit-code.js';
export * from './program.js';

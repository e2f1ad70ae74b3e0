export * from './fault.js';
export * from './fault-case.js';
export * from './fault-matrix.js';
export * from './matrix-run.js';
export * from './protocols.js';
export * from './world.js';

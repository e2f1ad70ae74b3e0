export * from './connection-gate.js';

export * from './connection-ledger.js';
export * from './json-meter.js';

export * from './daemon-process.js';
export * from './port-range.js';
export * from './managed-process.js';
export * from './wait-until.js';
export * from './operator-client.js';

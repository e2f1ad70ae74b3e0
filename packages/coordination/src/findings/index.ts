export * from './finding.js';
export * from './object-reader.js';

export * from './finding.js';

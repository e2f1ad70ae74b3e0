export * from './known-red-list.js';
export * from './tap-results.js';

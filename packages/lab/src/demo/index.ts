export * from './promise-report.js';

export * from './operator-entry.js';

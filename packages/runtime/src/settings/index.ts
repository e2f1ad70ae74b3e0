export * from './read-settings.js';
export * from './schema-check.js';
export * from './settings.js';
export * from './format-finding.js';

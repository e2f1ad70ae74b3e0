export * from './render.js';
export * from './table.js';

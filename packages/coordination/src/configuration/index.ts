export * from './document.js';

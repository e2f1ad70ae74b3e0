export * from './evacuation-set.js';
export * from './evacuation-view.js';

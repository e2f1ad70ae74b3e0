export * from './document.js';
export * from './intent/intent.js';
export * from './operations.js';
export * from './view/configuration-view.js';
export * from './view/events.js';
export {Jitter} from './view/jitter.js';
export {headKey, getSnapshotKey, parseHead, type Head} from './view/head.js';

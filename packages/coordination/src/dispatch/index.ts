export * from './admission/index.js';
export * from './agent-messages.js';
export * from './decision-log.js';
export * from './dispatch-events.js';
export * from './dispatch-timing.js';
export * from './dispatcher.js';
export * from './placement/index.js';
export {RecentSet} from './recent-set.js';

export * from './entry-routes.js';
export * from './hedge-policy.js';
export * from './host-choice.js';
export * from './host-pick.js';
export * from './seeded-random.js';
export * from './summaries.js';

export * from './change-commands.js';
export * from './explain-command.js';
export * from './plan-commands.js';
export * from './session.js';
export * from './status-commands.js';
export * from './timeline-command.js';
export * from './validate-command.js';

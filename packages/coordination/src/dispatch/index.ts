export * from './agent-messages.js';
export * from './decision-log.js';
export * from './dispatch-events.js';
export * from './dispatch-timing.js';
export * from './dispatcher.js';
export {RecentSet} from './recent-set.js';
export type {AdviceReply} from './policy/advice-tickets.js';
export {decideAdmission, type AdmissionDecision} from './policy/admission.js';
export {
  getQueueGroup,
  isUnusedQueue,
  QueueBacklogs,
  type GroupBacklog,
  type QueueBacklog,
  type QueueState,
} from './policy/queue-backlogs.js';
export {RoundThrottle} from './policy/round-throttle.js';

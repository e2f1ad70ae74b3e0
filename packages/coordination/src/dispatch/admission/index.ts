export {decideAdmission, type AdmissionDecision} from './admission.js';
export {CostAdmission, type NewSubmission} from './cost-admission.js';
export type {CostBacklogs, GroupCost, QueueWorkState} from './cost-backlogs.js';
export {
  getQueueGroup,
  isUnusedQueue,
  QueueBacklogs,
  type AcceptedMemory,
  getMemoryLimits,
  type MemoryUse,
  type GroupBacklog,
  type QueueBacklog,
  type QueueCost,
  type QueueState,
} from './queue-backlogs.js';

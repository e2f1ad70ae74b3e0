export {decideAdmission, type AdmissionDecision} from './admission.js';
export {
  getQueueGroup,
  isUnusedQueue,
  QueueBacklogs,
  type AcceptedMemory,
  getMemoryLimits,
  type MemoryUse,
  type GroupBacklog,
  type QueueBacklog,
  type QueueState,
} from './queue-backlogs.js';

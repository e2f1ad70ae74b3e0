export {decideAdmission, type AdmissionDecision} from './admission.js';
export {
  getQueueGroup,
  isUnusedQueue,
  QueueBacklogs,
  type GroupBacklog,
  type QueueBacklog,
  type QueueState,
} from './queue-backlogs.js';

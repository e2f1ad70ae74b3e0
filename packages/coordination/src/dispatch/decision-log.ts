/** Names of the decisions and observations that the dispatching entry logs. */
export type DecisionEvent =
  | 'ownership-begun'
  | 'ownership-ended'
  | 'predecessors-ended'
  | 'recovery-finished'
  | 'submission-accepted'
  | 'submission-restored'
  | 'submission-deferred'
  | 'submission-ended'
  | 'submission-cancelled'
  | 'cancel-early'
  | 'run-placed'
  | 'run-refused'
  | 'run-unresolved'
  | 'run-adopted'
  | 'run-stopped'
  | 'run-ended'
  | 'run-lost'
  | 'run-unexpected'
  | 'run-paced'
  | 'run-moved'
  | 'room-reserved'
  | 'task-waiting'
  | 'advice-received'
  | 'advice-unavailable'
  | 'worker-up'
  | 'worker-draining'
  | 'worker-gone'
  | 'worker-unreachable'
  | 'worker-reachable'
  | 'worker-suspended'
  | 'worker-crashed'
  | 'task-cleared'
  | 'task-given-up'
  | 'progress-stored'
  | 'progress-not-stored'
  | 'configuration-used'
  | 'evacuation-changed';

/** One logged decision or observation with the inputs on which it was based. */
export interface LoggedDecision {
  readonly event: DecisionEvent;
  /** Id of the affected submission. */
  readonly submission?: string;
  /** Name of the affected task. */
  readonly task?: string;
  /** Number of the affected run of the task. */
  readonly run?: number;
  /** Identifier of the affected worker incarnation. */
  readonly worker?: string;
  readonly reason?: string;
  /**
   * Age in milliseconds of what the event is about: the worker's latest message, an unanswered command, a failed
   * write, or the run or submission that has ended.
   */
  readonly ageMs?: number;
  readonly [field: string]: string | number | boolean | undefined;
}

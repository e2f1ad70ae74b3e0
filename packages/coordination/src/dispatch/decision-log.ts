/** Names of the decisions and observations that the dispatching entry logs. */
export type DecisionEvent =
  | 'ownership-begun'
  | 'ownership-ended'
  | 'recovery-finished'
  | 'submission-accepted'
  | 'submission-restored'
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
  | 'worker-up'
  | 'worker-draining'
  | 'worker-gone'
  | 'worker-unreachable'
  | 'worker-reachable'
  | 'worker-suspended'
  | 'progress-stored'
  | 'progress-not-stored'
  | 'configuration-used';

/** One logged decision with the inputs on which it was based. */
export interface LoggedDecision {
  readonly event: DecisionEvent;
  /** Id of the affected submission. */
  readonly submission?: string;
  readonly task?: string;
  readonly run?: number;
  readonly worker?: string;
  readonly reason?: string;
  /** Age in milliseconds of the input on which the decision was based. */
  readonly ageMs?: number;
  readonly [field: string]: string | number | boolean | undefined;
}

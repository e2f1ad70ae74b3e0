import type {AttemptReport, AttemptState, Usage} from '../messages/control.js';
import type {Resources} from '../messages/identity.js';
import {addAmounts, createAmounts} from './amounts.js';
import type {AgentTasksEffect, WorkerAction} from './events.js';
import {leaseStopAllowanceMs, taskLeaseMs} from './timing.js';

/** Timeout of a call to the worker. */
export const workerCallTimeoutMs = 3_000;

/** Attempt of a task as seen by the agent. */
export class AgentAttempt {
  state: AttemptState = 'starting';
  /** Whether the attempt has ended; it is kept until its report is acknowledged. */
  isTerminal = false;
  /** Unanswered worker call that does not end the attempt. */
  pendingCall?: WorkerAction;
  /** Unanswered worker call that ends the attempt. */
  stopping?: 'checkpoint' | 'stop';
  /** Time of the latest worker call. */
  calledAt = Number.NEGATIVE_INFINITY;
  /** Whether the start failed, so that the attempt is reported as failed once the worker has stopped it. */
  failed = false;
  /** End of the lease on the agent's clock, in milliseconds. */
  leaseUntil = Number.NEGATIVE_INFINITY;
  /** Time at which the worker last confirmed that the task runs; infinite before the first confirmation. */
  confirmedAt = Number.POSITIVE_INFINITY;
  /** Time of the latest report to the owner. */
  reportedAt = Number.NEGATIVE_INFINITY;
  /** Resources that the attempt takes of the host's capacity. */
  resources: Resources = {processors: 0, memoryMb: 0, accelerators: 0, slots: 0};
  /** Processor limit as a fraction of `resources`; 1 when not throttled. */
  fraction = 1;
  /** Latest known checkpoint; at first the one that the task starts from. */
  checkpoint?: string;
  /** Reason for the state, as sent in reports. */
  detail?: string;
  /** Latest measurement that was not yet sent in a report. */
  usage?: Usage;

  constructor(
    readonly task: string,
    readonly attempt: number,
    readonly workload: string,
  ) {}

  /**
   * Returns the time by which the worker has certainly stopped the task unless its lease is extended. The worker may
   * receive an unanswered call as late as the call's timeout, and counts the lease from that receipt.
   */
  getLatestEnd(): number {
    const late = this.pendingCall ? this.calledAt + workerCallTimeoutMs + taskLeaseMs : 0;
    return Math.max(this.leaseUntil, late) + leaseStopAllowanceMs;
  }

  /** Records a pending call and returns the effect that makes it. */
  beginCall(action: WorkerAction, term: number, at: number): AgentTasksEffect {
    if (action === 'stop' || action === 'checkpoint') this.stopping = action;
    else this.pendingCall = action;
    this.calledAt = at;
    const leaseMs = Math.max(0, this.leaseUntil - at);
    const {task, attempt, workload, resources, checkpoint, fraction} = this;
    const base = {kind: 'worker-call', task, attempt, action, term} as const;
    if (action === 'start') return {...base, leaseMs, workload, resources, checkpoint};
    if (action === 'renew') return {...base, leaseMs};
    if (action === 'throttle') return {...base, fraction};
    return base;
  }

  /** Returns a report of the current state. */
  toReport(): AttemptReport {
    const {task, attempt, state, detail, checkpoint, usage} = this;
    return {
      task,
      attempt,
      state,
      ...(detail === undefined ? {} : {detail}),
      ...(checkpoint === undefined ? {} : {checkpoint}),
      ...(usage === undefined ? {} : {usage}),
    };
  }
}

/** Returns the total resources of the attempts that have not ended. */
export function sumActiveResources(attempts: Iterable<AgentAttempt>): Resources {
  const used = createAmounts();
  for (const attempt of attempts) {
    if (!attempt.isTerminal) addAmounts(used, attempt.resources);
  }
  return used;
}

import type {AttemptReport, AttemptState, Usage} from '../messages/control.js';
import type {Resources} from '../messages/identity.js';
import {addAmounts, createAmounts} from './amounts.js';
import type {AgentTasksEffect, WorkerAction} from './events.js';
import {leaseStopAllowanceMs, taskLeaseMs} from './timing.js';

/** Time within which a worker call is answered or given up by the edge. */
export const workerCallLimitMs = 3_000;

/** One attempt as its agent knows it. */
export class AgentAttempt {
  state: AttemptState = 'starting';
  /** The attempt has ended; the report stays until it is acknowledged. */
  terminal = false;
  /** Call in progress that does not end the attempt. */
  calling?: WorkerAction;
  /** Call in progress that ends the attempt. */
  stopping?: 'checkpoint' | 'stop';
  calledAt = Number.NEGATIVE_INFINITY;
  /** The start failed and the worker is told to stop the task. */
  failed = false;
  /** End of the lease on the agent's clock. */
  leaseUntil = Number.NEGATIVE_INFINITY;
  /** Time at which the worker last confirmed the task; infinite before the first time. */
  confirmedAt = Number.POSITIVE_INFINITY;
  reportedAt = Number.NEGATIVE_INFINITY;
  resources: Resources = {processors: 0, memoryMb: 0, accelerators: 0, slots: 0};
  fraction = 1;
  checkpoint?: string;
  detail?: string;
  usage?: Usage;

  constructor(
    readonly task: string,
    readonly attempt: number,
    readonly workload: string,
  ) {}

  /**
   * Returns the time from which the worker has certainly ended the task by itself. The lease of an
   * unanswered call may count from a late receipt.
   */
  getLatestEnd(): number {
    const late = this.calling ? this.calledAt + workerCallLimitMs + taskLeaseMs : 0;
    return Math.max(this.leaseUntil, late) + leaseStopAllowanceMs;
  }

  /** Notes a call as in progress and returns its effect. */
  createCall(action: WorkerAction, term: number, at: number): AgentTasksEffect {
    if (action === 'stop' || action === 'checkpoint') this.stopping = action;
    else this.calling = action;
    this.calledAt = at;
    const leaseMs = Math.max(0, this.leaseUntil - at);
    const {task, attempt, workload, resources, checkpoint, fraction} = this;
    const base = {kind: 'worker-call', task, attempt, action, term} as const;
    if (action === 'start') return {...base, leaseMs, workload, resources, checkpoint};
    if (action === 'renew') return {...base, leaseMs};
    if (action === 'throttle') return {...base, fraction};
    return base;
  }

  /** Returns the report of the present state. */
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

/** Returns the resources of the attempts that have not ended. */
export function sumActive(attempts: Iterable<AgentAttempt>): Resources {
  const used = createAmounts();
  for (const attempt of attempts) {
    if (!attempt.terminal) addAmounts(used, attempt.resources);
  }
  return used;
}

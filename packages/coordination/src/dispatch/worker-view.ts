import type {Resources} from '../messages/identity.js';
import type {Step} from '../submissions/index.js';
import {addAmounts, createAmounts, type Amounts} from '../tasks/amounts.js';
import type {RunEndRow, WorkerDescription} from './agent-messages.js';
import type {DispatchTiming} from './dispatch-timing.js';
import {EndCursor} from './end-cursor.js';
import type {WorkerClosure} from './placement/worker-refusal.js';
import {RecentSet} from './recent-set.js';
import {WorkerEvidence} from './supervision/worker-evidence.js';
import type {Run} from './task.js';

/** Sums of cores are rounded to thousandths, the unit in which workers report processor use. */
const millicoresPerCore = 1_000;

/**
 * Number of submissions whose spec an agent is taken to know. Agents keep more of them, so that they know these even
 * when the two sides have not used them in the same order.
 */
const maxSentSpecs = 64;

/** Returns the key of a run on a worker. */
export function getRunKey(task: string, run: number): string {
  return `${task}#${run}`;
}

/** The dispatcher's view of one worker incarnation. */
export class WorkerView {
  /** Runs that may be on the worker, by task and number. */
  readonly runs = new Map<string, Run>();
  /** Resources reserved by the runs; filling tasks reserve memory and accelerators but no processors. */
  readonly used: Amounts = createAmounts();
  /** Run ends that the worker has listed; the stored ones are acknowledged to it. */
  readonly ends = new EndCursor();
  readonly health = new WorkerEvidence();
  /** Ids of the submissions whose spec was sent on the current connection to the agent. */
  readonly sentSpecs = new RecentSet<string>(maxSentSpecs);
  isConnected = true;
  lastContactAt: number;
  /** Time of the worker's latest report about its runs. */
  lastReportAt = Number.NEGATIVE_INFINITY;
  /** Ends that wait for their submissions to be loaded; the agent reports them only once. */
  heldEnds: readonly RunEndRow[] = [];
  /** Time of the latest complete list of its runs and ends. */
  listedAt = Number.NEGATIVE_INFINITY;
  /** Whether the worker has listed its runs under this owner's fencing token since it connected. */
  isReconciled = false;
  /** Whether the stored roster contains this incarnation. */
  isInRoster = false;
  /** Whether an earlier incarnation of the agent's worker has been used by this owner. */
  isReborn = false;
  /** Latest token that it has seen. */
  private seenToken = 0;
  /** Latest time at which the incarnation may have executed a call that was meant for its former one. */
  private tokenSeenAt: number;
  /** Fencing token that the incarnation must have seen, so that it executes no earlier call any more. */
  token = 0;
  /** Whether the worker has been logged as unreachable. */
  isLoggedUnreachable = false;
  /** Incremented when the runs, their pace or their measurements change. */
  changes = 0;
  /** Time until which the worker gets no tasks because it refused one. */
  blockedUntil = Number.NEGATIVE_INFINITY;
  /** Time at which the latest lease message was sent. */
  leaseSentAt = Number.NEGATIVE_INFINITY;
  /** Number up to which the latest lease message acknowledged ends. */
  sentAcknowledgement = 0;
  /** Time at which a draining worker may leave. */
  leavesAt = Number.POSITIVE_INFINITY;
  /** Time until which the worker is slow because it was idle for a while. */
  coldUntil = Number.NEGATIVE_INFINITY;
  /** Time from which its filling tasks have to be paused, because a serving task has been over its latency target. */
  pauseFillersAt = Number.POSITIVE_INFINITY;
  /** Moving average of the ratio of actual to expected run times on this worker; decays to 1. */
  slowness = 1;
  private clockMs = 0;
  private clockReadAt = 0;
  /** Latest deadline sent to the worker, in milliseconds on its own clock. */
  private latestDeadlineMs = 0;

  constructor(
    readonly agent: string,
    public description: WorkerDescription,
    readonly firstContactAt: number,
  ) {
    this.lastContactAt = firstContactAt;
    this.tokenSeenAt = firstContactAt;
  }

  /** Identifier of the worker incarnation. */
  get life(): string {
    return this.description.life;
  }

  /** Total resources of the worker. */
  get capacity(): Resources {
    return this.description.capacity;
  }

  /** Whether the worker is leaving. */
  get isDraining(): boolean {
    return this.description.state === 'draining';
  }

  /** Whether runs that start now are slow because the worker was idle for a while. */
  isCold(at: number): boolean {
    return at < this.coldUntil;
  }

  /** Whether its filling tasks have to be paused, because they may keep a serving task over its latency target. */
  mustPauseFillers(at: number): boolean {
    return at >= this.pauseFillersAt;
  }

  /** Records a reading of the worker's clock, in milliseconds, that arrived at `at`. */
  recordClock(clockMs: number, at: number): void {
    this.clockMs = clockMs;
    this.clockReadAt = at;
  }

  /** Whether the worker's clock has been read. */
  get hasClock(): boolean {
    return this.clockReadAt > 0;
  }

  /** Returns and records a deadline `leaseMs` ahead, in milliseconds on the worker's clock. */
  grantDeadline(leaseMs: number, at: number): number {
    const deadlineMs = Math.floor(this.clockMs + (at - this.clockReadAt) + leaseMs);
    this.latestDeadlineMs = Math.max(this.latestDeadlineMs, deadlineMs);
    return deadlineMs;
  }

  /**
   * Returns the time by which every lease has expired. When the clock reading arrived, the worker's clock
   * showed at least that value; `clockDrift` allows for a clock that runs slow from then on.
   */
  getLeaseEnd({clockDrift, maxLeaseMs}: Pick<DispatchTiming, 'clockDrift' | 'maxLeaseMs'>): number {
    const longLeaseEnd = this.isReborn
      ? this.tokenSeenAt + maxLeaseMs / (1 - clockDrift)
      : Number.NEGATIVE_INFINITY;
    if (!this.hasClock) return Math.max(this.firstContactAt, longLeaseEnd);
    const grantedMs = Math.max(0, this.latestDeadlineMs - this.clockMs);
    return Math.max(this.clockReadAt + grantedMs / (1 - clockDrift), longLeaseEnd);
  }

  /** Requires a list of runs that the worker makes after it has seen a fencing token; it gets no tasks until then. */
  requireToken(token: number): void {
    this.token = token;
    this.isReconciled = false;
    this.leaseSentAt = Number.NEGATIVE_INFINITY;
  }

  /** Records a list that the worker has made after it had seen its token. */
  recordToken(at: number): void {
    if (this.token <= this.seenToken) return;
    this.seenToken = this.token;
    this.tokenSeenAt = at;
  }

  /** Whether its lease may be longer than the owner has granted. */
  hasLongLease(at: number, {leaseMs, maxLeaseMs}: DispatchTiming): boolean {
    return this.isReborn && maxLeaseMs > leaseMs && at - this.tokenSeenAt < maxLeaseMs;
  }

  /** Whether new tasks may be sent to the worker. */
  canAcceptTasks(at: number, unreachableMs: number): boolean {
    return this.getClosure(at, unreachableMs) === undefined;
  }

  /** Returns why no new tasks may be sent to the worker, or undefined when they may. */
  getClosure(at: number, unreachableMs: number): WorkerClosure | undefined {
    if (!this.isConnected) return 'disconnected';
    if (!this.isReconciled) return 'not-listed';
    if (!this.isInRoster) return 'not-in-roster';
    if (this.isDraining) return 'draining';
    if (at - this.lastContactAt >= unreachableMs) return 'unreachable';
    return at < this.blockedUntil ? 'blocked' : undefined;
  }

  /** Adds a run and its resources. */
  add(run: Run): void {
    this.runs.set(getRunKey(run.task.name, run.number), run);
    this.changes += 1;
    this.reserve(run.task.step, 1);
  }

  /** Removes a run and its resources. */
  remove(run: Run): void {
    if (!this.runs.delete(getRunKey(run.task.name, run.number))) return;
    this.changes += 1;
    this.reserve(run.task.step, -1);
  }

  /** Returns a run by task name and number. */
  getRun(task: string, run: number): Run | undefined {
    return this.runs.get(getRunKey(task, run));
  }

  /** Reserves (`sign` 1) or releases (`sign` -1) the resources of one task of a step. */
  reserve(step: Step, sign: 1 | -1): void {
    const {need, fills} = step;
    addAmounts(this.used, fills ? {...need, processors: 0} : need, sign);
    this.used.processors = roundCores(this.used.processors);
  }
}

function roundCores(cores: number): number {
  return Math.round(cores * millicoresPerCore) / millicoresPerCore;
}

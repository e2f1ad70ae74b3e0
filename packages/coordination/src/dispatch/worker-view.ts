import type {Resources} from '../messages/identity.js';
import type {Step} from '../submissions/index.js';
import {addAmounts, createAmounts, type Amounts} from '../tasks/amounts.js';
import type {WorkerDescription} from './agent-messages.js';
import {EndCursor} from './end-cursor.js';
import {WorkerHealth} from './policy/worker-health.js';
import type {Run} from './task.js';

/** Thousandths of a core are the finest share that workers count. */
const millicoresPerCore = 1_000;

/** Returns the key of a run on a worker. */
export function getRunKey(task: string, run: number): string {
  return `${task}#${run}`;
}

/** What the dispatcher knows of one life of a worker. */
export class WorkerView {
  /** Runs that may be on the worker, by task and number. */
  readonly runs = new Map<string, Run>();
  /** Resources of all runs that do not fill. */
  readonly used: Amounts = createAmounts();
  readonly ends = new EndCursor();
  readonly health = new WorkerHealth();
  isConnected = true;
  lastContactAt: number;
  /** Whether the worker has listed its runs after it saw this owner's fencing token. */
  isReconciled = false;
  /** Whether the store holds the worker in the roster. */
  isInRoster = false;
  /** Whether a message that the worker is unreachable was logged. */
  isLoggedUnreachable = false;
  /** Rises with each change of the runs, their pace or their measurements. */
  changes = 0;
  /** Time before which the worker gets nothing because it refused. */
  blockedUntil = Number.NEGATIVE_INFINITY;
  /** Time of the newest lease message. */
  leaseSentAt = Number.NEGATIVE_INFINITY;
  /** Number up to which ends were acknowledged in the newest lease message. */
  sentAcknowledgement = 0;
  /** Time at which a draining worker may leave. */
  leavesAt = Number.POSITIVE_INFINITY;
  /** Mean ratio of run times on this worker to those elsewhere, as far as measured. */
  slowness = 1;
  private clockMs = 0;
  private clockReadAt = 0;
  /** Latest deadline on the worker's clock that any message may have carried. */
  private latestDeadlineMs = 0;

  constructor(
    readonly agent: string,
    public description: WorkerDescription,
    readonly firstContactAt: number,
  ) {
    this.lastContactAt = firstContactAt;
  }

  /** Id and start of the worker. */
  get life(): string {
    return this.description.life;
  }

  /** Resources of the worker. */
  get capacity(): Resources {
    return this.description.capacity;
  }

  /** Whether the worker is leaving. */
  get isDraining(): boolean {
    return this.description.state === 'draining';
  }

  /** Takes in a reading of the worker's clock that arrived at `at`. */
  readClock(clockMs: number, at: number): void {
    this.clockMs = clockMs;
    this.clockReadAt = at;
  }

  /** Whether the worker's clock has been read. */
  get hasClock(): boolean {
    return this.clockReadAt > 0;
  }

  /** Returns a deadline on the worker's clock that lies `leaseMs` ahead and remembers it. */
  grantDeadline(leaseMs: number, at: number): number {
    const deadlineMs = Math.floor(this.clockMs + (at - this.clockReadAt) + leaseMs);
    this.latestDeadlineMs = Math.max(this.latestDeadlineMs, deadlineMs);
    return deadlineMs;
  }

  /**
   * Time by which every lease that was granted has run out. The reading is older than its arrival, so the
   * worker's clock was at least there; a slow clock takes longer for the rest.
   */
  getLeaseEnd(clockDrift: number): number {
    if (!this.hasClock) return this.firstContactAt;
    return this.clockReadAt + Math.max(0, this.latestDeadlineMs - this.clockMs) / (1 - clockDrift);
  }

  /** Whether new tasks may be sent. */
  canAcceptTasks(at: number, unreachableMs: number): boolean {
    return (
      this.isConnected &&
      this.isReconciled &&
      this.isInRoster &&
      !this.isDraining &&
      at - this.lastContactAt < unreachableMs &&
      at >= this.blockedUntil
    );
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

  /** Adds (`sign` 1) or takes away (`sign` -1) what a task of a step needs. */
  reserve(step: Step, sign: 1 | -1): void {
    const {need, fills} = step;
    // Filling tasks reserve no processors.
    addAmounts(this.used, fills ? {...need, processors: 0} : need, sign);
    this.used.processors = roundCores(this.used.processors);
  }
}

function roundCores(cores: number): number {
  return Math.round(cores * millicoresPerCore) / millicoresPerCore;
}

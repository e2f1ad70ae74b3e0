import type {Workload} from '../../configuration/document.js';
import type {TaskRun} from './task-run.js';

/** Bounds of the exponential backoff before a failed task is retried. */
const initialBackoffMs = 1_000;
const maxBackoffMs = 300_000;

/** Eviction limit of one task: a number per window, and a minimum interval between two. */
const evictionWindowMs = 3_600_000;
const maxEvictionsPerWindow = 4;
const minEvictionIntervalMs = 60_000;

/**
 * Tasks of one workload. A counter represents the tasks not yet started, so that they need no memory and cancelling them
 * costs nothing.
 */
export class Job {
  /** Current run of each task that has one, by task index; a `settling` run no longer holds a reservation. */
  readonly runs = new Map<number, TaskRun>();
  /** Tasks that this owner has neither started nor adopted wait until then: a previous owner may have started them. */
  blockedUntil = Number.NEGATIVE_INFINITY;
  /** Limiting resource dimension when no host could ever run a task; absent otherwise. */
  neverRunnable?: string;
  /** Time since which no host has had room for a waiting task; absent while tasks start. */
  unplaceableSince?: number;
  /** Capacity version at which `neverRunnable` was last checked. */
  checkedCapacityVersion = -1;
  /** Number of finished items, updated by the scheduler. */
  finished = 0;
  private nextIndex = 0;
  private requeued: number[] = [];
  private delayed: Array<{index: number; at: number}> = [];
  private readonly failures = new Map<number, number>();
  private readonly evictions = new Map<number, number[]>();

  constructor(public workload: Workload) {}

  /** Name of the workload. */
  get name(): string {
    return this.workload.name;
  }

  /** Id of a task. */
  getTaskId(index: number): string {
    return `${this.workload.name}/${index}`;
  }

  /** Removes and returns the index of the next task that neither has a run nor is finished, if there is one. */
  takeNext(at: number, isFinished: (index: number) => boolean): number | undefined {
    this.requeueDue(at);
    for (;;) {
      const index = this.requeued.length > 0 ? this.requeued.pop() : this.takeUnstarted(at);
      if (index === undefined) return undefined;
      if (index < this.workload.tasks && !this.runs.has(index) && !isFinished(index)) return index;
    }
  }

  /** Puts a task back at the front of the queue. */
  requeue(index: number): void {
    this.requeued.push(index);
  }

  /** Puts a task back into the queue at the time `at`. */
  requeueAt(index: number, at: number): void {
    this.delayed.push({index, at});
  }

  /** Requeues a failed task with exponential backoff; returns its number of consecutive failures. */
  requeueFailed(index: number, at: number): number {
    const failures = (this.failures.get(index) ?? 0) + 1;
    this.failures.set(index, failures);
    this.requeueAt(index, at + Math.min(maxBackoffMs, initialBackoffMs * 2 ** (failures - 1)));
    return failures;
  }

  /** Resets the failure count and so the backoff of a task. */
  clearFailures(index: number): void {
    this.failures.delete(index);
  }

  /** Whether tasks may be waiting. It can be true when none is, because finished tasks are not excluded. */
  hasWaiting(at: number): boolean {
    if (this.requeued.length > 0) return true;
    if (this.nextIndex < this.workload.tasks && at >= this.blockedUntil) return true;
    return this.delayed.some(entry => entry.at <= at);
  }

  /** Number of tasks that are neither finished nor running. */
  get waiting(): number {
    return Math.max(0, this.workload.tasks - this.finished - this.runs.size);
  }

  /** Whether the eviction limit of the task allows another eviction. */
  canEvict(index: number, at: number): boolean {
    const times = this.evictions.get(index)?.filter(time => at - time < evictionWindowMs) ?? [];
    const lastEviction = times[times.length - 1];
    return (
      times.length < maxEvictionsPerWindow &&
      (lastEviction === undefined || at - lastEviction >= minEvictionIntervalMs)
    );
  }

  /** Records an eviction. */
  evicted(index: number, at: number): void {
    const times = this.evictions.get(index)?.filter(time => at - time < evictionWindowMs) ?? [];
    times.push(at);
    this.evictions.set(index, times);
  }

  /** Applies a changed declaration. Added tasks wait; the scheduler stops runs beyond a lowered number. */
  update(workload: Workload): void {
    this.workload = workload;
    this.nextIndex = Math.min(this.nextIndex, workload.tasks);
    this.neverRunnable = undefined;
    this.checkedCapacityVersion = -1;
  }

  /** Returns an independent copy for a forecast, without runs and failure counts. */
  clone(): Job {
    const copy = new Job(this.workload);
    copy.blockedUntil = this.blockedUntil;
    copy.neverRunnable = this.neverRunnable;
    copy.finished = this.finished;
    copy.nextIndex = this.nextIndex;
    copy.requeued = [...this.requeued];
    copy.delayed = [...this.delayed];
    for (const [index, times] of this.evictions) copy.evictions.set(index, [...times]);
    return copy;
  }

  private takeUnstarted(at: number): number | undefined {
    if (this.nextIndex >= this.workload.tasks || at < this.blockedUntil) return undefined;
    this.nextIndex += 1;
    return this.nextIndex - 1;
  }

  private requeueDue(at: number): void {
    if (!this.delayed.some(entry => entry.at <= at)) return;
    const due = this.delayed.filter(entry => entry.at <= at);
    this.delayed = this.delayed.filter(entry => entry.at > at);
    for (const entry of due) this.requeued.push(entry.index);
  }
}

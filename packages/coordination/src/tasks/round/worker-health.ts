/** Consecutive failures, across at least two workloads, at which a worker is suspended. */
const maxFailuresAcrossWorkloads = 3;

/** Consecutive failures at which a worker is suspended even if all are of one workload. */
const maxFailuresInTotal = 5;

/** First and longest suspension; the time doubles with each one until the worker succeeds. */
const firstSuspensionMs = 30_000;
const maxSuspensionMs = 600_000;

/**
 * Failure detector of one worker. A worker whose tasks keep failing is suspended, then returns on probation with one
 * task at a time. Failures of a single workload need a higher count, because the workload may be at fault.
 */
export class WorkerHealth {
  private failures = 0;
  private readonly failedWorkloads = new Set<string>();
  private suspendedUntil = Number.NEGATIVE_INFINITY;
  private suspensions = 0;
  private lastFailureAt = Number.NEGATIVE_INFINITY;

  /** Whether the worker is suspended and gets no tasks. */
  isSuspended(at: number): boolean {
    return at < this.suspendedUntil;
  }

  /** Whether the worker runs one task at a time until one succeeds. */
  isOnProbation(at: number): boolean {
    return this.suspensions > 0 && !this.isSuspended(at);
  }

  /** Whether the worker has failed since its last success. */
  get hasRecentFailures(): boolean {
    return this.failures > 0 || this.suspensions > 0;
  }

  /** Time at which the latest suspension ends; `-Infinity` before the first. */
  get suspensionEndsAt(): number {
    return this.suspendedUntil;
  }

  /**
   * Records a success, which ends a probation. Attempts started before the last failure are ignored, because a worker
   * may fail every new start while earlier tasks still finish.
   */
  recordSuccess(startedAt: number): void {
    if (startedAt <= this.lastFailureAt) return;
    this.failures = 0;
    this.failedWorkloads.clear();
    this.suspensions = 0;
  }

  /** Records a failure; returns true when it suspends the worker. Failures during a suspension are ignored. */
  recordFailure(workload: string, at: number): boolean {
    if (this.isSuspended(at)) return false;
    this.failures += 1;
    this.lastFailureAt = at;
    this.failedWorkloads.add(workload);
    const shouldSuspend =
      this.suspensions > 0 ||
      this.failures >= maxFailuresInTotal ||
      (this.failures >= maxFailuresAcrossWorkloads && this.failedWorkloads.size >= 2);
    if (!shouldSuspend) return false;
    const delay = Math.min(maxSuspensionMs, firstSuspensionMs * 2 ** this.suspensions);
    this.suspendedUntil = at + delay;
    this.suspensions += 1;
    this.failures = 0;
    this.failedWorkloads.clear();
    return true;
  }

  /** Returns an independent copy. */
  clone(): WorkerHealth {
    const copy = new WorkerHealth();
    copy.failures = this.failures;
    copy.lastFailureAt = this.lastFailureAt;
    for (const workload of this.failedWorkloads) copy.failedWorkloads.add(workload);
    copy.suspendedUntil = this.suspendedUntil;
    copy.suspensions = this.suspensions;
    return copy;
  }
}

/** Failures in a row across at least two workloads that suspend a worker. */
const maxFailuresAcrossWorkloads = 3;

/** Failures in a row of any workloads that suspend a worker. */
const maxFailuresInTotal = 5;

/** First and longest time of suspension. */
const firstSuspensionMs = 30_000;
const maxSuspensionMs = 600_000;

/**
 * Success record of one worker. A worker that fails everything is suspended, then returns on probation
 * with one task at a time. Failures of one workload alone count less, because the workload may be at fault.
 */
export class WorkerHealth {
  private failures = 0;
  private readonly failedWorkloads = new Set<string>();
  private suspendedUntil = Number.NEGATIVE_INFINITY;
  private suspensions = 0;
  private lastFailureAt = Number.NEGATIVE_INFINITY;

  /** Whether the worker gets nothing at present. */
  isSuspended(at: number): boolean {
    return at < this.suspendedUntil;
  }

  /** Whether the worker may run one task at a time until it succeeds. */
  isOnProbation(at: number): boolean {
    return this.suspensions > 0 && !this.isSuspended(at);
  }

  /** Whether the newest attempts failed. */
  get hasRecentFailures(): boolean {
    return this.failures > 0 || this.suspensions > 0;
  }

  /** Time at which the suspension ends. */
  get until(): number {
    return this.suspendedUntil;
  }

  /**
   * Records a success, which ends a probation. Attempts from before the last failure tell nothing: a worker
   * may fail every start while earlier tasks still finish.
   */
  recordSuccess(startedAt: number): void {
    if (startedAt <= this.lastFailureAt) return;
    this.failures = 0;
    this.failedWorkloads.clear();
    this.suspensions = 0;
  }

  /** Records a failure; returns true when the worker is suspended by it. */
  recordFailure(workload: string, at: number): boolean {
    if (this.isSuspended(at)) return false;
    this.failures += 1;
    this.lastFailureAt = at;
    this.failedWorkloads.add(workload);
    const suspend =
      this.suspensions > 0 ||
      this.failures >= maxFailuresInTotal ||
      (this.failures >= maxFailuresAcrossWorkloads && this.failedWorkloads.size >= 2);
    if (!suspend) return false;
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

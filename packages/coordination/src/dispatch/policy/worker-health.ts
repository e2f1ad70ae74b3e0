/** Limits of `WorkerEvidence`. */
export interface WorkerHealthOptions {
  /** Evidence against a worker from which it gets nothing. */
  readonly suspensionThreshold: number;
  /** Evidence that a success takes away. */
  readonly successCredit: number;
  /** The same for a run that started before the newest failure: it tells little about new starts. */
  readonly staleSuccessCredit: number;
  /** Time in milliseconds in which half of the evidence is forgotten. */
  readonly halfLifeMs: number;
  /** First and longest time in milliseconds without new tasks. */
  readonly firstSuspensionMs: number;
  readonly longestSuspensionMs: number;
}

const defaultOptions: WorkerHealthOptions = {
  // Three failures of work that succeeds elsewhere.
  suspensionThreshold: 9,
  successCredit: 4,
  staleSuccessCredit: 1,
  halfLifeMs: 10_000,
  firstSuspensionMs: 4_000,
  longestSuspensionMs: 60_000,
};

/** Failure rate of work of which nothing is known, as failures and ends seen before. */
const priorFailures = 0.1;
const priorEnds = 1;

/**
 * Collects evidence that a worker fails what it is given: each failure counts as the logarithm of how unlikely it
 * is for that work elsewhere. A worker that fails everything is suspended and returns with one task at a time.
 */
export class WorkerHealth {
  private readonly options: WorkerHealthOptions;
  private failureScore = 0;
  private updatedAt = 0;
  private failedAt = Number.NEGATIVE_INFINITY;
  private suspendedUntil = Number.NEGATIVE_INFINITY;
  private suspensions = 0;

  constructor(options: Partial<WorkerHealthOptions> = {}) {
    this.options = {...defaultOptions, ...options};
  }

  /** Whether the worker gets nothing at present. */
  isSuspended(at: number): boolean {
    return at < this.suspendedUntil;
  }

  /** Whether the worker gets one task at a time until one succeeds. */
  isOnProbation(at: number): boolean {
    return this.suspensions > 0 && !this.isSuspended(at);
  }

  /** Whether the newest runs speak against the worker. */
  get isSuspect(): boolean {
    return this.failureScore > this.options.suspensionThreshold / 3 || this.suspensions > 0;
  }

  /** Records a finished run. */
  recordSuccess(startedAt: number, at: number): void {
    this.decay(at);
    const isNewer = startedAt > this.failedAt;
    if (isNewer) this.suspensions = 0;
    const credit = isNewer ? this.options.successCredit : this.options.staleSuccessCredit;
    this.failureScore = Math.max(0, this.failureScore - credit);
  }

  /**
   * Records a failed run of work that has ended `ends` times elsewhere, `failures` of them in failure; returns
   * whether the worker is suspended by it.
   */
  recordFailure(failures: number, ends: number, at: number): boolean {
    this.decay(at);
    this.failedAt = at;
    const rate = Math.min(1, (failures + priorFailures) / (ends + priorEnds));
    this.failureScore -= Math.log(rate);
    if (this.isSuspended(at)) return false;
    if (this.suspensions === 0 && this.failureScore < this.options.suspensionThreshold)
      return false;
    const {firstSuspensionMs, longestSuspensionMs} = this.options;
    const delay = Math.min(longestSuspensionMs, firstSuspensionMs * 2 ** this.suspensions);
    this.suspendedUntil = at + delay;
    this.suspensions += 1;
    this.failureScore = 0;
    return true;
  }

  private decay(at: number): void {
    this.failureScore *= 0.5 ** ((at - this.updatedAt) / this.options.halfLifeMs);
    this.updatedAt = at;
  }
}

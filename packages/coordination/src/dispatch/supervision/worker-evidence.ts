/** Thresholds of `WorkerEvidence`. */
export interface WorkerEvidenceOptions {
  /** Failure score at which a worker is suspended. */
  readonly suspensionThreshold: number;
  /** Amount by which a success lowers the score. */
  readonly successCredit: number;
  /** The same for a run that started before the latest failure, which says little about the worker's current state. */
  readonly staleSuccessCredit: number;
  /** Half-life of the score in milliseconds. */
  readonly halfLifeMs: number;
  /** First and maximum suspension in milliseconds; each further suspension is twice as long as the previous one. */
  readonly firstSuspensionMs: number;
  readonly maxSuspensionMs: number;
}

/** What is known of a worker's failures, with all times relative to that of the record. */
export interface LearnedEvidence {
  readonly failureScore: number;
  readonly suspensions: number;
  /** Rest of the present suspension in milliseconds; 0 when the worker is not suspended. */
  readonly suspendedMs: number;
  /** Age of the latest failure in milliseconds; absent without one. */
  readonly failureAgeMs?: number;
}

const defaultOptions: WorkerEvidenceOptions = {
  // Three failures of work that succeeds elsewhere.
  suspensionThreshold: 9,
  successCredit: 4,
  staleSuccessCredit: 1,
  halfLifeMs: 10_000,
  firstSuspensionMs: 4_000,
  maxSuspensionMs: 60_000,
};

/** Failure score below which nothing is handed on: less than that of one failure. */
const minLearnedScore = 0.5;

/** Prior of the failure rate, as pseudo-counts of failed runs and of all ended runs. */
const priorFailures = 0.1;
const priorEnds = 1;

/**
 * Detects workers on which tasks fail that succeed elsewhere. Each failure adds the negative log of the failure rate
 * of the same submission's tasks on other workers to a decaying score. A worker above the threshold is suspended and
 * then on probation until a run succeeds; a failure on probation suspends it again, for twice as long.
 */
export class WorkerEvidence {
  private readonly options: WorkerEvidenceOptions;
  private failureScore = 0;
  private updatedAt = 0;
  private latestFailureAt = Number.NEGATIVE_INFINITY;
  private suspendedUntil = Number.NEGATIVE_INFINITY;
  private suspensions = 0;

  constructor(options: Partial<WorkerEvidenceOptions> = {}) {
    this.options = {...defaultOptions, ...options};
  }

  /** Whether the worker currently gets no tasks. */
  isSuspended(at: number): boolean {
    return at < this.suspendedUntil;
  }

  /** Whether the worker gets one finite task at a time, until one succeeds. */
  isOnProbation(at: number): boolean {
    return this.suspensions > 0 && !this.isSuspended(at);
  }

  /** Whether recent failures make the worker a last resort. */
  get isSuspect(): boolean {
    return this.failureScore > this.options.suspensionThreshold / 3 || this.suspensions > 0;
  }

  /** Records a successful run; it ends the probation when it started after the latest failure. */
  recordSuccess(startedAt: number, at: number): void {
    this.decay(at);
    const isNewer = startedAt > this.latestFailureAt;
    if (isNewer) this.suspensions = 0;
    const credit = isNewer ? this.options.successCredit : this.options.staleSuccessCredit;
    this.failureScore = Math.max(0, this.failureScore - credit);
  }

  /**
   * Records a failed run. `ends` runs of the same submission have ended on other workers, of which `failures` failed.
   * Returns whether the failure suspended the worker.
   */
  recordFailure(failures: number, ends: number, at: number): boolean {
    this.decay(at);
    this.latestFailureAt = at;
    const rate = Math.min(1, (failures + priorFailures) / (ends + priorEnds));
    this.failureScore -= Math.log(rate);
    if (this.isSuspended(at)) return false;
    if (this.suspensions === 0 && this.failureScore < this.options.suspensionThreshold)
      return false;
    const {firstSuspensionMs, maxSuspensionMs} = this.options;
    const suspensionMs = Math.min(maxSuspensionMs, firstSuspensionMs * 2 ** this.suspensions);
    this.suspendedUntil = at + suspensionMs;
    this.suspensions += 1;
    this.failureScore = 0;
    return true;
  }

  /** Returns what is known at `at`; undefined when there is nothing against the worker. */
  getLearned(at: number): LearnedEvidence | undefined {
    this.decay(at);
    if (this.failureScore < minLearnedScore && this.suspensions === 0) return undefined;
    const {failureScore, suspensions, suspendedUntil, latestFailureAt} = this;
    return {
      failureScore,
      suspensions,
      suspendedMs: Math.max(0, suspendedUntil - at),
      ...(Number.isFinite(latestFailureAt) && {failureAgeMs: at - latestFailureAt}),
    };
  }

  /** Continues with what another process knew at `at`. */
  restore(learned: LearnedEvidence, at: number): void {
    const {suspensionThreshold, maxSuspensionMs} = this.options;
    const {failureScore, suspensions, suspendedMs, failureAgeMs} = learned;
    this.failureScore = Math.min(suspensionThreshold, failureScore);
    this.updatedAt = at;
    this.suspensions = suspensions;
    if (suspendedMs > 0) this.suspendedUntil = at + Math.min(maxSuspensionMs, suspendedMs);
    if (failureAgeMs !== undefined) this.latestFailureAt = at - failureAgeMs;
  }

  private decay(at: number): void {
    this.failureScore *= 0.5 ** ((at - this.updatedAt) / this.options.halfLifeMs);
    this.updatedAt = at;
  }
}

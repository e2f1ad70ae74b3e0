/**
 * Rules for the order of waiting work, for admission and for preemption. `urgency`: least remaining work first, and new work
 * is compared with all accepted work. `cost`: by what a delay costs callers.
 */
export type Scheduling = 'urgency' | 'cost';

/** Times of the dispatcher in milliseconds, its other limits, whose units are in their names, and its rules. */
export interface DispatchTiming {
  /** Length of a worker's lease, which covers all its runs; the worker ends them when the lease expires. */
  readonly leaseMs: number;
  /**
   * Longest lease that a worker accepts. A worker that has started again under its id may get a deadline of its former
   * incarnation, far ahead on its clock, and then holds its runs for that long.
   */
  readonly maxLeaseMs: number;
  /** Time between two renewals of a worker's lease. */
  readonly renewMs: number;
  /** Time without a message about a worker after which it gets no new tasks. */
  readonly unreachableMs: number;
  /** Maximum time for which a previous owner continues after its last confirmed renewal in the store. */
  readonly previousOwnerMaxMs: number;
  /** Time after which a start command without a result is resolved by a stop. */
  readonly startTimeoutMs: number;
  /** Time that is added to `stopMs` between two attempts of a stop. */
  readonly stopRetryMs: number;
  /** Maximum time for which changed progress waits to be batched into a write. */
  readonly progressDelayMs: number;
  /** Time between two attempts of a failed write. */
  readonly writeRetryMs: number;
  /** Time for which final states are kept. */
  readonly keepFinalMs: number;
  /** Maximum time in which a worker executes a stop. */
  readonly stopMs: number;
  /** Overhead of resuming a task from a checkpoint. */
  readonly restoreMs: number;
  /** Maximum fraction by which a worker's clock runs slow. */
  readonly clockDrift: number;
  /** Time in which an evacuated data centre is to become empty; finite runs that take longer are moved. */
  readonly evacuationMs: number;
  /** Maximum time for which filling tasks may keep a serving task on the same worker over its latency target. */
  readonly maxOverTargetMs: number;
  /** Factor by which runs on a cold worker may take longer without being too slow. */
  readonly coldOverage: number;
  /** Bytes of start commands that may be sent in a second, so that other messages do not wait behind them. */
  readonly startBytesPerSecond: number;
  /** Memory in bytes for accepted submissions from which entries refuse new ones. */
  readonly maxAcceptedBytes: number;
  /** Memory in bytes for loaded submissions beyond which others stay in the store. */
  readonly maxLoadedBytes: number;
  /** Largest number of runs at a time, which tasks that need no resources would exceed. */
  readonly maxRuns: number;
  readonly scheduling: Scheduling;
}

/** Defaults of `DispatchTiming`; a deployment's settings override the values that its platform bounds. */
export const defaultDispatchTiming: DispatchTiming = {
  // A takeover takes up to 3 s, and the latest renewal may be 1 s old by then.
  leaseMs: 6_000,
  maxLeaseMs: 6_000,
  renewMs: 1_000,
  // Agents report at least once a second; two reports may be late.
  unreachableMs: 2_500,
  previousOwnerMaxMs: 6_000,
  // Longer than the timeout of an agent's call to its worker plus the stop that follows.
  startTimeoutMs: 4_000,
  stopRetryMs: 500,
  progressDelayMs: 250,
  writeRetryMs: 300,
  keepFinalMs: 300_000,
  stopMs: 1_000,
  restoreMs: 250,
  clockDrift: 0.02,
  evacuationMs: Number.POSITIVE_INFINITY,
  maxOverTargetMs: Number.POSITIVE_INFINITY,
  coldOverage: 1,
  startBytesPerSecond: Number.POSITIVE_INFINITY,
  maxAcceptedBytes: Number.POSITIVE_INFINITY,
  maxLoadedBytes: Number.POSITIVE_INFINITY,
  maxRuns: Number.POSITIVE_INFINITY,
  scheduling: 'urgency',
};

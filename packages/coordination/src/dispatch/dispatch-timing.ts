/** Times and limits of the dispatcher, all in milliseconds. */
export interface DispatchTiming {
  /** Length of the lease of everything that runs on a worker. */
  readonly leaseMs: number;
  /** Time between two renewals of a worker's lease. */
  readonly renewMs: number;
  /** Silence of an agent after which its worker gets nothing new. */
  readonly unreachableMs: number;
  /** Longest time that a former owner goes on after its last confirmed renewal in the store. */
  readonly formerOwnerMs: number;
  /** Time after which an order without a result is resolved by a stop. */
  readonly orderLimitMs: number;
  /** Time between two attempts of a stop. */
  readonly stopRetryMs: number;
  /** Longest time that finished work waits for its write. */
  readonly progressDelayMs: number;
  /** Time between two attempts of a failed write. */
  readonly writeRetryMs: number;
  /** Time for which final states are kept. */
  readonly keepFinalMs: number;
  /** Longest time that a worker takes to carry out a stop. */
  readonly stopMs: number;
  /** Time that a task loses when it resumes from a checkpoint. */
  readonly restoreMs: number;
  /** Largest part by which a worker's clock runs slow. */
  readonly clockDrift: number;
}

/** Defaults of `DispatchTiming`; a deployment's settings replace what its platform bounds. */
export const defaultDispatchTiming: DispatchTiming = {
  // A takeover takes up to 3 s, and the newest renewal may be a second old by then.
  leaseMs: 6_000,
  renewMs: 1_000,
  // Agents report at least once a second; two reports may be late.
  unreachableMs: 2_500,
  formerOwnerMs: 6_000,
  // Above the time limit of an agent's call to its worker and the stop that follows.
  orderLimitMs: 4_000,
  stopRetryMs: 500,
  progressDelayMs: 250,
  writeRetryMs: 300,
  keepFinalMs: 300_000,
  stopMs: 1_000,
  restoreMs: 250,
  // Bound of the workers' clocks.
  clockDrift: 0.02,
};

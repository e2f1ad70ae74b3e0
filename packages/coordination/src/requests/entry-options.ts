import type {FairQueueOptions} from '../admission/fair-queue.js';
import {TwoChoicePick, type HostPick} from '../routing/host-pick.js';

/** Options of `EntryRequests`. */
export interface EntryRequestsOptions {
  /** Incarnation of this process; the origin of the ids that it assigns. */
  readonly incarnation: number;
  readonly dataCentre: string;
  readonly region: string;
  /** Seed of the choice between hosts. */
  readonly seed: number;
  /** Time after `drain` in which late arrivals are still served. */
  readonly settleMs: number;
  readonly maxTimeoutMs: number;
  readonly maxRequestBytes: number;
  /** Time without a connection to the target after which a lost attempt counts as unknown. */
  readonly recoverMs: number;
  /** Bounds and order of the queue. */
  readonly queue: Partial<FairQueueOptions>;
  /** Whether the concurrency per host is learned from latency. */
  readonly learnLimits: boolean;
  readonly hostPick: HostPick;
  /** Hedges for each first attempt; 0 for none. */
  readonly hedgeRatio: number;
}

/** Values of the options that a caller need not give. */
export const entryRequestsDefaults = {
  seed: 1,
  settleMs: 2000,
  maxTimeoutMs: 60_000,
  maxRequestBytes: 1024 * 1024,
  recoverMs: 5000,
  queue: {},
  learnLimits: true,
  hostPick: new TwoChoicePick(),
  hedgeRatio: 0.05,
};

/** Options of `EntryRequests` with defaults for all but the identity of the process. */
export type EntryRequestsSettings = Pick<
  EntryRequestsOptions,
  'incarnation' | 'dataCentre' | 'region'
> &
  Partial<EntryRequestsOptions>;

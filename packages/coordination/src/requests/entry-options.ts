import type {FairQueueOptions} from '../admission/fair-queue.js';
import {TwoChoicePick, type HostPick} from '../routing/host-pick.js';

/** Options of `EntryRequests`. */
export interface EntryRequestsOptions {
  /** Incarnation of this process, used as the origin of the request ids that it assigns. */
  readonly incarnation: number;
  readonly dataCentre: string;
  readonly region: string;
  /** Seed of the random choices between hosts. */
  readonly seed: number;
  /** Time after `drain` during which new requests are still served. */
  readonly settleMs: number;
  /** Longer timeouts of callers are reduced to this. */
  readonly maxTimeoutMs: number;
  /** Largest request body; a request with a larger one is refused as `too-large`. */
  readonly maxRequestBytes: number;
  /** Time since the loss of its connection after which an attempt is given up as possibly run. */
  readonly recoverMs: number;
  /** Limits and scheduling policy of the queue. */
  readonly queue: Partial<FairQueueOptions>;
  /** Whether the concurrency limit per host adapts to its latency. */
  readonly learnLimits: boolean;
  /** Load balancing policy between hosts. */
  readonly hostPick: HostPick;
  /** Hedged requests allowed for each first attempt; 0 disables hedging. */
  readonly hedgeRatio: number;
}

/** Defaults of the optional settings. */
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

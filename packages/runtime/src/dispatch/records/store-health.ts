import type {Clock} from '@chervilbeam/coordination';

/**
 * Time in milliseconds without a successful call, since a call that failed or is not answered yet began, after which the
 * store counts as failing. A slow but healthy store answers within it.
 */
const failingAfterMs = 500;

/** A store call that has begun. */
export interface ObservedCall {
  readonly startedAt: number;
}

/**
 * Tells from the calls of this process whether the store answers it, as a circuit breaker does. Single lost answers
 * between successful calls do not count.
 */
export class StoreHealth {
  private readonly pending = new Set<ObservedCall>();
  private succeededAt = Number.NEGATIVE_INFINITY;
  /** Start of the first call that has failed since the latest success. */
  private failingSince: number | undefined;
  private smallestMs: number | undefined;

  constructor(private readonly clock: Clock) {}

  /** Whether calls that are sent now would most likely not be answered. */
  get isFailing(): boolean {
    let since = this.failingSince ?? Number.POSITIVE_INFINITY;
    for (const {startedAt} of this.pending) {
      if (startedAt >= this.succeededAt) since = Math.min(since, startedAt);
    }
    return this.clock.now() - since >= failingAfterMs;
  }

  /**
   * Smallest round trip of a successful call in milliseconds; undefined before the first one. Later calls say more of the
   * distance to the store than the first ones, which also open connections and run code that is not compiled yet.
   */
  get smallestRoundTripMs(): number | undefined {
    return this.smallestMs;
  }

  /** Records the begin of a call. */
  begin(): ObservedCall {
    const call = {startedAt: this.clock.now()};
    this.pending.add(call);
    return call;
  }

  /** Records the end of a call. */
  end(call: ObservedCall, isSuccess: boolean): void {
    this.pending.delete(call);
    if (isSuccess) {
      const elapsedMs = this.clock.now() - call.startedAt;
      this.smallestMs = Math.min(this.smallestMs ?? elapsedMs, elapsedMs);
      this.recordSuccess();
    } else this.recordFailure(call.startedAt);
  }

  /** Records a successful call. */
  recordSuccess(): void {
    this.succeededAt = this.clock.now();
    this.failingSince = undefined;
  }

  /** Records a failed call that began at `startedAt`. */
  recordFailure(startedAt = this.clock.now()): void {
    if (startedAt >= this.succeededAt) this.failingSince ??= startedAt;
  }
}

/** Initial and maximum size of the window, in requests. */
const initialLimit = 16;
const maxLimit = 4096;

/**
 * Congestion window for the requests of one class that are forwarded to another entry. It grows by slow start until
 * the other entry reports a standing queue, then by a few requests per round trip, and is reduced at most once per
 * round trip.
 */
export class ForwardWindow {
  /** Number of requests without an answer. */
  outstanding = 0;
  private limit = initialLimit;
  private lastReducedAt = -Infinity;
  private isSlowStart = true;

  /** Whether another request may be sent. */
  canSend(): boolean {
    return this.outstanding < this.limit;
  }

  /** Fraction of the window that is in use. */
  getLoad(): number {
    return this.outstanding / this.limit;
  }

  /** Adjusts the window after an answer; a credit of 0 means that the other entry has a standing queue. */
  adapt(credit: number, latencyMs: number, at: number): void {
    if (credit > 0) {
      // An answer says nothing about the limit while less than half of the window is in use.
      if (this.outstanding * 2 < this.limit) return;
      const growth = this.isSlowStart ? 1 : 2 / this.limit;
      this.limit = Math.min(maxLimit, this.limit + growth);
      return;
    }
    if (at - this.lastReducedAt < latencyMs) return;
    this.isSlowStart = false;
    this.lastReducedAt = at;
    this.limit = Math.max(2, this.limit * 0.85);
  }
}

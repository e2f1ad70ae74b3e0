const initialLimit = 16;
const maxLimit = 4096;

/**
 * Requests of one class that may be on the way to another entry at once. It grows quickly until the first sign of
 * a standing queue there, then by a few requests a round trip, and is cut at most once a round trip.
 */
export class ForwardWindow {
  /** Requests without an answer. */
  outstanding = 0;
  private limit = initialLimit;
  private lastReducedAt = -Infinity;
  private isSlowStart = true;

  /** Whether another request may be sent. */
  canSend(): boolean {
    return this.outstanding < this.limit;
  }

  /** Part of the window that is in use. */
  getLoad(): number {
    return this.outstanding / this.limit;
  }

  /** Adapts to the credit of an answer; 0 tells of a standing queue at the other entry. */
  adapt(credit: number, latencyMs: number, at: number): void {
    if (credit > 0) {
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

/** Time in milliseconds for which an unused budget accumulates; also how far one start may overdraw it. */
const maxAccumulationMs = 250;

/**
 * Limits the bytes of start commands to a rate, as a token bucket. A burst of starts would otherwise fill the host's
 * network link, and the owner's lease renewals and the workers' leases would wait behind it until they expire.
 */
export class StartBudget {
  private availableBytes: number;
  private updatedAt = Number.NEGATIVE_INFINITY;

  /** Allows `bytesPerSecond` on average; `Infinity` sets no limit. */
  constructor(private readonly bytesPerSecond: number) {
    this.availableBytes = this.capacityBytes;
  }

  /** Whether a start may be sent now. */
  isOpen(at: number): boolean {
    if (this.bytesPerSecond === Number.POSITIVE_INFINITY) return true;
    this.availableBytes = this.getAvailableBytes(at);
    this.updatedAt = at;
    return this.availableBytes > 0;
  }

  /** Returns the number of bytes that may be sent now, without changing the budget; negative when it is overdrawn. */
  getAvailableBytes(at: number): number {
    if (this.bytesPerSecond === Number.POSITIVE_INFINITY) return Number.POSITIVE_INFINITY;
    const elapsedMs = Math.min(maxAccumulationMs, Math.max(0, at - this.updatedAt));
    const accumulated = this.availableBytes + (elapsedMs / 1_000) * this.bytesPerSecond;
    return Math.min(this.capacityBytes, accumulated);
  }

  /** Records a start of `bytes` bytes. */
  take(bytes: number): void {
    if (this.bytesPerSecond !== Number.POSITIVE_INFINITY) this.availableBytes -= bytes;
  }

  private get capacityBytes(): number {
    return (this.bytesPerSecond * maxAccumulationMs) / 1_000;
  }
}

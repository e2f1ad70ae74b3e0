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
    const elapsedMs = Math.min(maxAccumulationMs, Math.max(0, at - this.updatedAt));
    this.updatedAt = at;
    this.availableBytes = Math.min(
      this.capacityBytes,
      this.availableBytes + (elapsedMs / 1_000) * this.bytesPerSecond,
    );
    return this.availableBytes > 0;
  }

  /** Records a start of `bytes` bytes. */
  take(bytes: number): void {
    if (this.bytesPerSecond !== Number.POSITIVE_INFINITY) this.availableBytes -= bytes;
  }

  private get capacityBytes(): number {
    return (this.bytesPerSecond * maxAccumulationMs) / 1_000;
  }
}

/** Time without any event, ticks included, after which the process was certainly stopped. */
const stallThresholdMs = 1000;
/** Time after a stall within which the socket buffers have been read out. */
const settleMs = 100;

/** Notices that the process was stopped for a while: what it then reads from its sockets is of unknown age. */
export class StallDetector {
  private lastEventAt = Infinity;
  private settlingUntil = -Infinity;

  /** Notes that the process runs. */
  recordEvent(at: number): void {
    if (at - this.lastEventAt > stallThresholdMs) this.settlingUntil = at + settleMs;
    this.lastEventAt = at;
  }

  /** Whether messages that arrive now may have waited while the process was stopped. */
  isSettling(at: number): boolean {
    return at < this.settlingUntil;
  }
}

/** Time without any event, including ticks, after which the process must have been stopped. */
const stallThresholdMs = 1000;
/** Time after a stall within which all buffered data has been read from the sockets. */
const settleMs = 100;

/** Detects that the process was stopped for a while; messages read right afterwards are of unknown age. */
export class StallDetector {
  private lastEventAt = Infinity;
  private settlingUntil = -Infinity;

  /** Records that the process handles an event. */
  recordEvent(at: number): void {
    if (at - this.lastEventAt > stallThresholdMs) this.settlingUntil = at + settleMs;
    this.lastEventAt = at;
  }

  /** Whether messages that arrive now may have waited while the process was stopped. */
  isSettling(at: number): boolean {
    return at < this.settlingUntil;
  }
}

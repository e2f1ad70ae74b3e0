/** Time without any event, ticks included, after which the process was certainly stopped. */
const stallMs = 1000;
/** Time after a stall within which the socket buffers have been read out. */
const settleMs = 100;

/** Notices that the process was stopped for a while: what it then reads from its sockets is of unknown age. */
export class StallDetector {
  private notedAt = Infinity;
  private settlingUntil = -Infinity;

  /** Notes that the process runs. */
  note(at: number): void {
    if (at - this.notedAt > stallMs) this.settlingUntil = at + settleMs;
    this.notedAt = at;
  }

  /** Whether messages that arrive now may have waited while the process was stopped. */
  isSettling(at: number): boolean {
    return at < this.settlingUntil;
  }
}

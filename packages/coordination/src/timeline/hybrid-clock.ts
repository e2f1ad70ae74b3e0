/** 2020-01-01T00:00:00Z. Counting from here keeps stamps exact in a double until 2089. */
const epochMs = 1_577_836_800_000;

/** Events of one millisecond that keep distinct stamps. */
const stepsPerMs = 4096;

/** A stamp further ahead than this is not adopted, so that one wrong clock does not move all others. */
const maxAheadMs = 60_000;

/**
 * Hybrid logical clock. A stamp is one number that grows with wall time and is always above every stamp
 * received before, so that an effect never sorts before its cause.
 */
export class HybridClock {
  #last = 0;
  /** Stamps that were too far ahead to be adopted. */
  refused = 0;

  /** Returns the stamp of a local event or of a message to be sent. */
  next(wallMs: number): number {
    this.#last = Math.max(this.#last + 1, getStamp(wallMs));
    return this.#last;
  }

  /** Takes in the stamp of a received message. */
  receive(stamp: number, wallMs: number): void {
    if (!Number.isSafeInteger(stamp) || stamp < 0) return;
    if (stamp > getStamp(wallMs + maxAheadMs)) this.refused++;
    else this.#last = Math.max(this.#last, stamp);
  }
}

/** Returns the lowest stamp of a wall time. */
export function getStamp(wallMs: number): number {
  return Math.max(0, Math.floor(wallMs) - epochMs) * stepsPerMs;
}

/** Returns the wall time of a stamp, with the step inside the millisecond as fraction. */
export function getStampTime(stamp: number): number {
  return epochMs + stamp / stepsPerMs;
}

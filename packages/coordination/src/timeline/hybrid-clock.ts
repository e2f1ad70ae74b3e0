/** Epoch of stamps, 2020-01-01T00:00:00Z. It keeps stamps exact in a double until 2089. */
const epochMs = 1_577_836_800_000;

/** Number of distinct stamps per millisecond. */
const stampsPerMs = 4096;

/** Stamps further ahead than this are refused, so that one wrong clock does not advance all others. */
const maxAheadMs = 60_000;

/**
 * Hybrid logical clock. A stamp is one number that grows with wall time and is always above every stamp
 * received before, so that no event sorts before an event that caused it.
 */
export class HybridClock {
  #lastStamp = 0;
  /** Number of received stamps that were refused because they were too far ahead. */
  refused = 0;

  /** Returns the stamp of a local event or of a message to be sent. */
  next(wallMs: number): number {
    this.#lastStamp = Math.max(this.#lastStamp + 1, getStamp(wallMs));
    return this.#lastStamp;
  }

  /** Advances the clock to the stamp of a received message. Invalid stamps are ignored. */
  receive(stamp: number, wallMs: number): void {
    if (!Number.isSafeInteger(stamp) || stamp < 0) return;
    if (stamp > getStamp(wallMs + maxAheadMs)) this.refused++;
    else this.#lastStamp = Math.max(this.#lastStamp, stamp);
  }
}

/** Returns the lowest stamp of a wall time in milliseconds since the Unix epoch. */
export function getStamp(wallMs: number): number {
  return Math.max(0, Math.floor(wallMs) - epochMs) * stampsPerMs;
}

/** Returns the wall time of a stamp in milliseconds since the Unix epoch; stamps within one differ in the fraction. */
export function getStampTime(stamp: number): number {
  return epochMs + stamp / stampsPerMs;
}

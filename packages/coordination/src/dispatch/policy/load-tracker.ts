/** Bounds of a load. */
const lowestLoad = 0.05;
const highestLoad = 0.95;
/** Fastest change of a load in a millisecond. */
const steepestSlope = 0.0002;
/** Longest time in milliseconds for which the newest slope is extrapolated. */
const longestForesightMs = 1_500;
/** Time in milliseconds over which the usual load is averaged; it covers several waves of users. */
const averagingMs = 20_000;
/** Gain of a measurement that nothing disturbs, for the load and for its slope. */
const loadGain = 0.7;
const slopeGain = 0.35;

/**
 * Follows the load of the tasks of one serving step, which share their users, from measurements on several
 * workers. Measurements that other tasks disturb count less.
 */
export class LoadTracker {
  private load: number;
  private slope = 0;
  private updatedAt: number;
  /** Time of the newest measurement that counted for more than half. */
  private clearAt: number;
  private usual: number;

  constructor(load: number, at: number) {
    this.load = clamp(load);
    this.updatedAt = at;
    this.clearAt = at;
    this.usual = this.load;
  }

  /** Load on average over the last waves of users. */
  get usualLoad(): number {
    return this.usual;
  }

  /** Age in milliseconds of the newest measurement that little disturbed. */
  getAge(at: number): number {
    return at - this.clearAt;
  }

  /** Returns the load at a time, also a little ahead. */
  predict(at: number): number {
    return clamp(this.load + this.slope * Math.min(longestForesightMs, at - this.updatedAt));
  }

  /** Takes in a measurement; `weight` from 0 to 1 tells how far it can be relied on. */
  update(measured: number, weight: number, at: number): void {
    const expected = this.predict(at);
    const elapsed = Math.max(100, at - this.updatedAt);
    const surprise = clamp(measured) - expected;
    this.load = clamp(expected + loadGain * weight * surprise);
    const slope = this.slope + (slopeGain * weight * surprise) / elapsed;
    this.slope = Math.max(-steepestSlope, Math.min(steepestSlope, slope));
    this.updatedAt = at;
    this.usual += (this.load - this.usual) * Math.min(1, elapsed / averagingMs);
    if (weight > 0.5) this.clearAt = at;
  }
}

function clamp(load: number): number {
  return Math.max(lowestLoad, Math.min(highestLoad, load));
}

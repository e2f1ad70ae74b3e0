/** Bounds of a load. */
const lowestLoad = 0.05;
const highestLoad = 0.95;
/** Standard deviation of the change of the slope of a load in a second, for a second of time. */
const slopeDrift = 0.1;
/** Standard deviation of the slope before anything is known, for a second of time. */
const firstSlopeDeviation = 0.08;
/** Fastest change of a load in a second. */
const steepestSlope = 0.2;
/** Longest time in seconds for which the slope is extrapolated. */
const longestForesight = 2.5;
/** Rise of the slope that is expected on the way out of a trough, for a second of time. */
const troughSlope = 0.03;
/** Largest variance of a load; without measurements it can be anything. */
const largestVariance = 0.04;

/** A load and how sure it is. */
export interface LoadEstimate {
  readonly load: number;
  readonly deviation: number;
}

/**
 * Follows the load of the tasks of one serving step, which share their users, from measurements on several workers:
 * a Kalman filter for the load and its slope.
 */
export class LoadTracker {
  private load: number;
  private slope = 0;
  /** Covariance of load and slope. */
  private loadVariance: number;
  private covariance = 0;
  private slopeVariance = firstSlopeDeviation ** 2;
  private updatedAt: number;

  constructor(load: number, deviation: number, at: number) {
    this.load = clamp(load);
    this.loadVariance = deviation ** 2;
    this.updatedAt = at;
  }

  /** Returns the load at a time in milliseconds, also a little ahead. */
  estimate(at: number): LoadEstimate {
    const elapsed = Math.max(0, (at - this.updatedAt) / 1000);
    const variance = this.getVariance(elapsed);
    return {
      load: clamp(this.load + this.slope * Math.min(longestForesight, elapsed)),
      deviation: Math.sqrt(variance),
    };
  }

  /** Returns the highest load that is expected within a time in milliseconds. */
  getHighest(at: number, durationMs: number): number {
    const now = this.estimate(at).load;
    const ahead = Math.min(longestForesight, durationMs / 1000) * (this.slope + troughSlope);
    return clamp(Math.max(now, now + ahead));
  }

  /** Takes in a measurement with its standard deviation. */
  update(measured: number, deviation: number, at: number): void {
    const elapsed = Math.max(0, (at - this.updatedAt) / 1000);
    const expected = this.estimate(at).load;
    const drift = (slopeDrift * elapsed) ** 2;
    const loadVariance = this.getVariance(elapsed);
    const covariance = this.covariance + this.slopeVariance * elapsed;
    const slopeVariance = this.slopeVariance + drift;
    const total = loadVariance + deviation ** 2;
    const loadGain = loadVariance / total;
    const slopeGain = covariance / total;
    const surprise = clamp(measured) - expected;
    this.load = clamp(expected + loadGain * surprise);
    const slope = this.slope + slopeGain * surprise;
    this.slope = Math.max(-steepestSlope, Math.min(steepestSlope, slope));
    this.loadVariance = (1 - loadGain) * loadVariance;
    this.covariance = (1 - loadGain) * covariance;
    this.slopeVariance = Math.max(1e-4, slopeVariance - slopeGain * covariance);
    this.updatedAt = at;
  }

  private getVariance(elapsed: number): number {
    const drift = (slopeDrift * elapsed) ** 2;
    const grown =
      this.loadVariance +
      2 * this.covariance * elapsed +
      (this.slopeVariance + drift / 4) * elapsed ** 2;
    return Math.min(largestVariance, Math.max(1e-5, grown));
  }
}

function clamp(load: number): number {
  return Math.max(lowestLoad, Math.min(highestLoad, load));
}

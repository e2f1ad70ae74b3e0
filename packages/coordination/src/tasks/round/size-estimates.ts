import type {Workload} from '../../configuration/document.js';
import type {Resources} from '../../messages/identity.js';
import {getWorkloadPrefix} from './run-time-estimates.js';

/** Weight of a new measurement in the exponential moving averages. */
const smoothingFactor = 0.1;

/** Measurements required before an estimate is used. */
const minMeasurements = 5;

/** Number of standard deviations by which a reservation exceeds the mean usage. */
const reservedStandardDeviations = 2;

/**
 * Fraction by which estimates are rounded down; otherwise four tasks of 4,001 thousandths of a core would not fit on a
 * host with 16 cores.
 */
const roundingFraction = 0.005;

/** Minimum reservation of a batch task, as a fraction of its declared processors. */
const minReservedFraction = 0.1;

/** Exponential moving average and variance of measured / declared processors. */
interface Estimate {
  count: number;
  mean: number;
  variance: number;
}

/** Learns the ratio of used to declared processors, per team and workload name prefix. */
export class SizeEstimates {
  private readonly estimates = new Map<string, Estimate>();

  /** Records the measured and the declared processors of a running task. */
  observe(team: string, workload: string, declared: number, measured: number): void {
    if (declared <= 0) return;
    const key = `${team}/${getWorkloadPrefix(workload)}`;
    const value = measured / declared;
    const estimate = this.estimates.get(key);
    if (!estimate) {
      this.estimates.set(key, {count: 1, mean: value, variance: 0});
      return;
    }
    estimate.count += 1;
    const delta = value - estimate.mean;
    estimate.mean += smoothingFactor * delta;
    estimate.variance = (1 - smoothingFactor) * (estimate.variance + smoothingFactor * delta ** 2);
  }

  /**
   * Returns the resources that a task reserves. Tasks that use more processors than declared reserve more, up to
   * `largestProcessors`, the processors of the largest host. Only batch tasks that use less reserve less.
   */
  getReservation(workload: Workload, largestProcessors: number): Resources {
    const {resources} = workload;
    const estimate = this.estimates.get(`${workload.team}/${getWorkloadPrefix(workload.name)}`);
    if (!estimate || estimate.count < minMeasurements) return resources;
    const upperFactor = estimate.mean + reservedStandardDeviations * Math.sqrt(estimate.variance);
    const minFraction = workload.kind === 'batch' ? minReservedFraction : 1;
    if (upperFactor >= 1 && upperFactor < 1 + roundingFraction) return resources;
    const estimated = Math.floor(resources.processors * upperFactor * (1 - roundingFraction));
    const desired = Math.max(Math.ceil(resources.processors * minFraction), estimated);
    const processors = Math.min(desired, Math.max(largestProcessors, resources.processors));
    return {...resources, processors};
  }
}

import type {Workload} from '../../configuration/document.js';
import type {Resources} from '../../messages/identity.js';
import {getWorkloadPrefix} from './run-time-estimates.js';

/** Weight of a new measurement in the exponential moving averages. */
const smoothingFactor = 0.1;

/** Measurements required before an estimate is used. */
const minMeasurements = 5;

/** Standard deviations above the mean usage that are reserved. */
const reservedDeviations = 2;

/** Fraction by which estimates are rounded down: four tasks of 4001 would not fit on a host of 16000. */
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
   * `largest`, the processors of the largest host. Only batch tasks that use less reserve less.
   */
  getReservation(workload: Workload, largest: number): Resources {
    const {resources} = workload;
    const estimate = this.estimates.get(`${workload.team}/${getWorkloadPrefix(workload.name)}`);
    if (!estimate || estimate.count < minMeasurements) return resources;
    const upperFactor = estimate.mean + reservedDeviations * Math.sqrt(estimate.variance);
    const minFraction = workload.kind === 'batch' ? minReservedFraction : 1;
    if (upperFactor >= 1 && upperFactor < 1 + roundingFraction) return resources;
    const estimated = Math.floor(resources.processors * upperFactor * (1 - roundingFraction));
    const desired = Math.max(Math.ceil(resources.processors * minFraction), estimated);
    const processors = Math.min(desired, Math.max(largest, resources.processors));
    return {...resources, processors};
  }
}

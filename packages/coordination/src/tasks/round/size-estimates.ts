import type {Workload} from '../../configuration/document.js';
import type {Resources} from '../../messages/identity.js';
import {getWorkloadPrefix} from './run-time-estimates.js';

/** Weight of a new measurement. */
const smoothingFactor = 0.1;

/** Measurements before an estimate is used. */
const minMeasurements = 5;

/** Deviations above the mean that are reserved. */
const reservedDeviations = 2;

/** Part of an estimate that is rounded away: four tasks of 4001 would not fit on a host of 16000. */
const roundingFraction = 0.005;

/** Least part of the declared size that stays reserved. */
const minReservedFraction = 0.1;

interface Estimate {
  count: number;
  mean: number;
  variance: number;
}

/** Learns how far declared processors are off, per team and workload name prefix. */
export class SizeEstimates {
  private readonly estimates = new Map<string, Estimate>();

  /** Records measured processors of a task that declared `declared`. */
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
   * Returns what a task reserves. Tasks that use more than they declared reserve more, up to `largest`;
   * batch tasks that use less give the rest back.
   */
  getReservation(workload: Workload, largest: number): Resources {
    const {resources} = workload;
    const estimate = this.estimates.get(`${workload.team}/${getWorkloadPrefix(workload.name)}`);
    if (!estimate || estimate.count < minMeasurements) return resources;
    const upper = estimate.mean + reservedDeviations * Math.sqrt(estimate.variance);
    const minFraction = workload.kind === 'batch' ? minReservedFraction : 1;
    if (upper >= 1 && upper < 1 + roundingFraction) return resources;
    const estimated = Math.floor(resources.processors * upper * (1 - roundingFraction));
    const desired = Math.max(Math.ceil(resources.processors * minFraction), estimated);
    const processors = Math.min(desired, Math.max(largest, resources.processors));
    return {...resources, processors};
  }
}

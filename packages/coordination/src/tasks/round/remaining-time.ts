import type {Resources} from '../../messages/identity.js';
import type {CellState} from '../cell/cell-state.js';
import type {Job} from '../cell/job.js';
import type {RunTimeEstimates} from './run-time-estimates.js';

/** Run time of an item when the workload declares none. */
const defaultItemSeconds = 60;

/** Fraction of an item that must be done before its run time is extrapolated; earlier progress is too noisy. */
const minEstimateProgress = 0.05;

/**
 * Number of tasks with the given need that the connected hosts could run at once if they were empty; at least 1 in
 * total and at most 1,000 per host.
 */
export function countPossibleTasks(state: CellState, need: Resources): number {
  let tasks = 0;
  for (const {isUp, capacity} of state.hosts.values()) {
    if (!isUp) continue;
    const limits = [
      need.processors > 0 ? capacity.processors / need.processors : Infinity,
      need.memoryMb > 0 ? capacity.memoryMb / need.memoryMb : Infinity,
      need.accelerators > 0 ? capacity.accelerators / need.accelerators : Infinity,
      need.slots > 0 ? capacity.slots / need.slots : Infinity,
    ];
    tasks += Math.floor(Math.min(...limits, 1_000));
  }
  return Math.max(1, tasks);
}

/**
 * Expected run time of one item in seconds, plus `deviations` standard deviations (above 0 pessimistic). Before the first
 * item of the series has finished, the progress of running tasks is extrapolated instead, without standard deviations.
 */
export function getItemSeconds(
  job: Job,
  estimates: RunTimeEstimates,
  deviations: number,
  at: number,
): number {
  const {workload} = job;
  const declared = workload.runTimeSeconds ?? defaultItemSeconds;
  const hasHistory = estimates.getCount(workload.team, workload.name) > 0;
  if (!hasHistory) {
    let sum = 0;
    let count = 0;
    for (const run of job.runs.values()) {
      if (!run.startedWithoutCheckpoint || run.progress < minEstimateProgress) continue;
      sum += (at - run.startedAt) / 1000 / run.progress;
      count += 1;
    }
    if (count > 0) return sum / count;
  }
  return declared * estimates.getFactor(workload.team, workload.name, deviations);
}

/**
 * Returns the expected time in seconds to finish a batch job with `parallelTasks` tasks at a time. With
 * `isDivisible`, work is assumed to split evenly, without the lower bound that the longest remaining item sets.
 */
export function getRemainingSeconds(
  job: Job,
  itemSeconds: number,
  parallelTasks: number,
  isDivisible = false,
): number {
  let items = job.waiting;
  let largestRemainder = items > 0 ? 1 : 0;
  for (const run of job.runs.values()) {
    items += 1 - run.progress;
    largestRemainder = Math.max(largestRemainder, 1 - run.progress);
  }
  return Math.max(
    isDivisible ? 0 : itemSeconds * largestRemainder,
    (items * itemSeconds) / Math.max(1, parallelTasks),
  );
}

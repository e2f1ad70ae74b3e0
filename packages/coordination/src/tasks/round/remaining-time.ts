import type {Resources} from '../../messages/identity.js';
import type {CellState} from '../cell/cell-state.js';
import type {Job} from '../cell/job.js';
import type {RunTimeEstimates} from './run-time-estimates.js';

/** Declared run time that is assumed when there is none. */
const defaultItemSeconds = 60;

/** Progress from which a running item tells its run time. */
const minEstimateProgress = 0.05;

/** Number of tasks of a size that the reachable hosts could run if they were empty. */
export function countPossibleTasks(state: CellState, need: Resources): number {
  let tasks = 0;
  for (const {up, capacity} of state.hosts.values()) {
    if (!up) continue;
    const counts = [
      need.processors > 0 ? capacity.processors / need.processors : Infinity,
      need.memoryMb > 0 ? capacity.memoryMb / need.memoryMb : Infinity,
      need.accelerators > 0 ? capacity.accelerators / need.accelerators : Infinity,
      need.slots > 0 ? capacity.slots / need.slots : Infinity,
    ];
    tasks += Math.floor(Math.min(...counts, 1_000));
  }
  return Math.max(1, tasks);
}

/** Expected run time of one item; `deviations` above 0 is cautious, below 0 hopeful. */
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
      if (!run.fresh || run.progress < minEstimateProgress) continue;
      sum += (at - run.startedAt) / 1000 / run.progress;
      count += 1;
    }
    if (count > 0) return sum / count;
  }
  return declared * estimates.getFactor(workload.team, workload.name, deviations);
}

/**
 * Returns the expected time to finish a batch job with `parallel` tasks at a time; `divisible` leaves out
 * that the last item takes its whole run time.
 */
export function getRemainingSeconds(
  job: Job,
  itemSeconds: number,
  parallel: number,
  divisible = false,
): number {
  let items = job.waiting;
  let longest = items > 0 ? 1 : 0;
  for (const run of job.runs.values()) {
    items += 1 - run.progress;
    longest = Math.max(longest, 1 - run.progress);
  }
  return Math.max(
    divisible ? 0 : itemSeconds * longest,
    (items * itemSeconds) / Math.max(1, parallel),
  );
}

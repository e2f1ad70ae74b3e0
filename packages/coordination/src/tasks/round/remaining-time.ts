import type {Job} from '../cell/job.js';
import type {RunTimeEstimates} from './run-time-estimates.js';

/** Returns the expected time to finish a batch job with the tasks that run at present. */
export function getRemainingSeconds(job: Job, estimates: RunTimeEstimates): number {
  const {workload} = job;
  const declared = workload.runTimeSeconds ?? 60;
  const itemSeconds = declared * estimates.getFactor(workload.team, workload.name);
  let items = job.waiting;
  for (const run of job.runs.values()) items += 1 - run.progress;
  const parallel = Math.max(1, job.runs.size);
  return Math.max(itemSeconds * (items > 0 ? 1 : 0), (items * itemSeconds) / parallel);
}

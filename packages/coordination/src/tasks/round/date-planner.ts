import type {CellState} from '../cell/cell-state.js';
import type {Job} from '../cell/job.js';
import type {FindingReason} from '../events.js';
import {countPossibleTasks, getItemSeconds, getRemainingSeconds} from './remaining-time.js';
import type {RunTimeEstimates} from './run-time-estimates.js';

/** Time between two looks for jobs that will be late. */
const lateCheckMs = 5_000;

/** Finding about a date. */
export interface DateFinding {
  readonly workload: string;
  readonly reason: FindingReason;
  readonly detail: string;
}

/** Judges the dates of batch jobs by learned run times. */
export class DatePlanner {
  /** Wall time less monotonic time; absent until the first tick that tells the wall time. */
  wallOffset?: number;
  private checkedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly state: CellState,
    private readonly estimates: RunTimeEstimates,
    private readonly learns: boolean,
  ) {}

  /** Time to spare if the job got the whole fleet; infinite without a date. */
  getSlackSeconds(job: Job, at: number): number {
    const left = this.getLeftSeconds(job, at);
    if (left === undefined) return Number.POSITIVE_INFINITY;
    const items = job.waiting + job.runs.size;
    const parallel = Math.min(items, countPossibleTasks(this.state, job));
    return left - getRemainingSeconds(job, this.getItem(job, 1, at), parallel);
  }

  /** Returns the jobs that are late or expected to be, once every few seconds. */
  findLate(at: number): DateFinding[] {
    if (at - this.checkedAt < lateCheckMs) return [];
    this.checkedAt = at;
    const findings: DateFinding[] = [];
    for (const job of this.state.jobs.values()) {
      const left = this.getLeftSeconds(job, at);
      if (left === undefined || job.finished >= job.workload.tasks) continue;
      const {name: workload} = job;
      if (left < 0) {
        const detail = `${job.workload.tasks - job.finished} items are not finished at the date`;
        findings.push({workload, reason: 'late', detail});
        continue;
      }
      const parallel = job.runs.size || countPossibleTasks(this.state, job);
      const needed = getRemainingSeconds(job, this.getItem(job, 1, at), parallel);
      if (needed <= left) continue;
      const detail = `needs about ${Math.round(needed)} s, ${Math.round(left)} s are left`;
      findings.push({workload, reason: 'expected-late', detail});
    }
    return findings;
  }

  private getItem(job: Job, deviations: number, at: number): number {
    if (!this.learns) return job.workload.runTimeSeconds ?? 60;
    return getItemSeconds(job, this.estimates, deviations, at);
  }

  private getLeftSeconds(job: Job, at: number): number | undefined {
    const {dateMs} = job.workload;
    if (dateMs === undefined || this.wallOffset === undefined) return undefined;
    return (dateMs - this.wallOffset - at) / 1000;
  }
}

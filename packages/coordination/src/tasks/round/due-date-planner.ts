import type {Workload} from '../../configuration/document.js';
import type {Resources} from '../../messages/identity.js';
import type {CellState} from '../cell/cell-state.js';
import type {Job} from '../cell/job.js';
import type {FindingReason} from '../events.js';
import {countPossibleTasks, getItemSeconds, getRemainingSeconds} from './remaining-time.js';
import type {RunTimeEstimates} from './run-time-estimates.js';

/** Interval between checks for jobs that will miss their due date. */
const lateCheckIntervalMs = 5_000;

/** Interval between two plans. */
const planIntervalMs = 1_000;

/** Number of standard deviations added to the mean run time in the plan. */
const planStandardDeviations = 0;

/** Rank of a job without observed run times or running tasks, so that one of its items runs early. */
const probeRank = -1e9;

/** Rank of jobs without a due date or with one that cannot be met. */
const unplannedRank = 1e9;

interface PlannedJob {
  readonly job: Job;
  /** Time until the due date; negative after it. */
  readonly secondsLeft: number;
  /** Time for the remaining items if the job had all hosts of the cell to itself. */
  readonly fleetSeconds: number;
  /** Lower bound on the time to finish, because one item does not run on several hosts. */
  readonly minSeconds: number;
}

/** Finding about a job that misses its due date or is expected to. */
export interface DueDateFinding {
  readonly workload: string;
  readonly reason: FindingReason;
  readonly detail: string;
}

/** Ranks batch jobs by their due dates (`dateMs`) and learned run times, and finds those that will be late. */
export class DueDatePlanner {
  /** Wall-clock time minus monotonic time; absent until a tick carries the wall-clock time. */
  wallClockOffsetMs?: number;
  private plannedAt = Number.NEGATIVE_INFINITY;
  private readonly ranks = new Map<string, number>();
  private checkedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly state: CellState,
    private readonly estimates: RunTimeEstimates,
    private readonly isLearning: boolean,
    private readonly getReservation: (workload: Workload) => Resources,
  ) {}

  /**
   * Rank of a job in its urgency band; lower goes first. Jobs selected by `plan` as able to meet their due dates are
   * ordered by slack, in seconds. All others come after them, together with jobs without a due date. With learning, a job
   * that has neither observed run times nor running tasks comes first.
   */
  getRank(job: Job, at: number): number {
    if (at - this.plannedAt >= planIntervalMs || at < this.plannedAt) this.plan(at);
    const {team, name} = job.workload;
    const unknown = this.isLearning && this.estimates.getCount(team, name) === 0;
    // Running one item early shows whether the declared run time is wrong by a factor.
    if (unknown && job.runs.size === 0) return probeRank;
    return this.ranks.get(job.name) ?? unplannedRank;
  }

  /**
   * Selects jobs that can all meet their due dates (Moore-Hodgson algorithm, which maximises their number): in order
   * of due date, and whenever the total work exceeds the time left, the longest job is dropped. All hosts together
   * are treated as one machine.
   */
  private plan(at: number): void {
    this.plannedAt = at;
    this.ranks.clear();
    const bands = new Map<string, PlannedJob[]>();
    for (const job of this.state.jobs.values()) {
      const planned = this.createPlannedJob(job, at);
      if (!planned) continue;
      const band = bands.get(job.workload.urgency) ?? [];
      band.push(planned);
      bands.set(job.workload.urgency, band);
    }
    for (const band of bands.values()) this.planBand(band);
  }

  private planBand(band: PlannedJob[]): void {
    band.sort((a, b) => a.secondsLeft - b.secondsLeft);
    const feasible: PlannedJob[] = [];
    let totalSeconds = 0;
    for (const planned of band) {
      if (planned.minSeconds > planned.secondsLeft) continue;
      feasible.push(planned);
      totalSeconds += planned.fleetSeconds;
      if (totalSeconds <= planned.secondsLeft) continue;
      let longest = 0;
      for (let index = 1; index < feasible.length; index += 1) {
        if ((feasible[index]?.fleetSeconds ?? 0) > (feasible[longest]?.fleetSeconds ?? 0))
          longest = index;
      }
      totalSeconds -= feasible.splice(longest, 1)[0]?.fleetSeconds ?? 0;
    }
    for (const {job, secondsLeft, minSeconds, fleetSeconds} of feasible) {
      this.ranks.set(job.name, secondsLeft - Math.max(minSeconds, fleetSeconds));
    }
  }

  private createPlannedJob(job: Job, at: number): PlannedJob | undefined {
    const secondsLeft = this.getSecondsLeft(job, at);
    if (secondsLeft === undefined || job.finished >= job.workload.tasks) return undefined;
    if (job.neverRunnable !== undefined) return undefined;
    const itemSeconds = this.getExpectedItemSeconds(job, planStandardDeviations, at);
    const possibleTasks = countPossibleTasks(this.state, this.getReservation(job.workload));
    const fleetSeconds = getRemainingSeconds(job, itemSeconds, possibleTasks, true);
    const items = job.waiting + job.runs.size;
    const minSeconds = getRemainingSeconds(job, itemSeconds, Math.min(items, possibleTasks));
    return {job, secondsLeft, fleetSeconds, minSeconds};
  }

  /** Returns the jobs that are late or expected to be; none within `lateCheckIntervalMs` of the last check. */
  findLate(at: number): DueDateFinding[] {
    if (at - this.checkedAt < lateCheckIntervalMs) return [];
    this.checkedAt = at;
    const findings: DueDateFinding[] = [];
    for (const job of this.state.jobs.values()) {
      const secondsLeft = this.getSecondsLeft(job, at);
      if (secondsLeft === undefined || job.finished >= job.workload.tasks) continue;
      const {name: workload} = job;
      if (secondsLeft < 0) {
        const detail = `${job.workload.tasks - job.finished} items are not finished at the date`;
        findings.push({workload, reason: 'late', detail});
        continue;
      }
      const parallelTasks =
        job.runs.size || countPossibleTasks(this.state, this.getReservation(job.workload));
      const neededSeconds = getRemainingSeconds(
        job,
        this.getExpectedItemSeconds(job, 1, at),
        parallelTasks,
      );
      if (neededSeconds <= secondsLeft) continue;
      const detail = `needs about ${Math.round(neededSeconds)} s, ${Math.round(secondsLeft)} s are left`;
      findings.push({workload, reason: 'expected-late', detail});
    }
    return findings;
  }

  private getExpectedItemSeconds(job: Job, deviations: number, at: number): number {
    if (!this.isLearning) return job.workload.runTimeSeconds ?? 60;
    return getItemSeconds(job, this.estimates, deviations, at);
  }

  private getSecondsLeft(job: Job, at: number): number | undefined {
    const {dateMs} = job.workload;
    if (dateMs === undefined || this.wallClockOffsetMs === undefined) return undefined;
    return (dateMs - this.wallClockOffsetMs - at) / 1000;
  }
}

import {urgencies} from '../../messages/identity.js';
import type {CellHost} from '../cell/cell-host.js';
import type {CellState} from '../cell/cell-state.js';
import type {Job} from '../cell/job.js';
import type {TaskRun} from '../cell/task-run.js';

/** Urgency from which on work may be evicted for urgent work. */
const lowestEvictableBand = 2;

/**
 * Batch tasks that the bounds on eviction allow to stop, by host. They are listed once a round: checking them again
 * for each of 1,000 waiting jobs took 80% of the scheduler's time.
 */
export class EvictableRuns {
  private lent?: Map<CellHost, TaskRun[]>;
  private low?: Map<CellHost, TaskRun[]>;

  constructor(
    private readonly state: CellState,
    private readonly at: number,
  ) {}

  /** Hosts with tasks that may be stopped for a job, and these tasks. */
  getFor(job: Job): ReadonlyMap<CellHost, readonly TaskRun[]> {
    const band = urgencies.indexOf(job.workload.urgency);
    if (band >= lowestEvictableBand) {
      this.lent ??= this.list(run => this.isLent(run));
      return this.lent;
    }
    this.low ??= this.list(run => this.isLent(run) || isLow(run));
    return this.low;
  }

  /** Whether a listed task may still be stopped for a job. */
  isVictim(run: TaskRun, job: Job): boolean {
    if (run.state !== 'running') return false;
    if (run.team !== job.workload.team && this.isLent(run)) return true;
    return urgencies.indexOf(job.workload.urgency) < lowestEvictableBand && isLow(run);
  }

  private isLent(run: TaskRun): boolean {
    return run.borrowed && this.state.isOverQuota(run.team);
  }

  private list(isCandidate: (run: TaskRun) => boolean): Map<CellHost, TaskRun[]> {
    const byHost = new Map<CellHost, TaskRun[]>();
    for (const host of this.state.hosts.values()) {
      const runs = [...host.runs.values()].filter(
        run => run.kind === 'batch' && run.state === 'running' && isCandidate(run),
      );
      const allowed = runs.filter(run =>
        this.state.jobs.get(run.workload)?.mayEvict(run.index, this.at),
      );
      if (allowed.length > 0) byHost.set(host, allowed);
    }
    return byHost;
  }
}

function isLow(run: TaskRun): boolean {
  return urgencies.indexOf(run.urgency) >= lowestEvictableBand;
}

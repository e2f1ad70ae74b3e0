import {urgencies} from '../../messages/identity.js';
import type {CellHost} from '../cell/cell-host.js';
import type {CellState} from '../cell/cell-state.js';
import type {Job} from '../cell/job.js';
import type {TaskRun} from '../cell/task-run.js';

/** Index in `urgencies` of the first band whose tasks may be evicted for more urgent work. */
const firstEvictableBand = 2;

/**
 * Batch tasks that may be evicted, by host. They are listed once per round: rechecking the eviction limits for each of
 * 1,000 waiting jobs took 80% of the scheduler's time.
 */
export class EvictableRuns {
  private reclaimable?: Map<CellHost, TaskRun[]>;
  private reclaimableOrLowUrgency?: Map<CellHost, TaskRun[]>;

  constructor(
    private readonly state: CellState,
    private readonly at: number,
  ) {}

  /** Returns the tasks that may be evicted for a job, by host; hosts without such tasks are absent. */
  getFor(job: Job): ReadonlyMap<CellHost, readonly TaskRun[]> {
    const band = urgencies.indexOf(job.workload.urgency);
    if (band >= firstEvictableBand) {
      this.reclaimable ??= this.listByHost(run => this.isReclaimable(run));
      return this.reclaimable;
    }
    this.reclaimableOrLowUrgency ??= this.listByHost(
      run => this.isReclaimable(run) || isLowUrgency(run),
    );
    return this.reclaimableOrLowUrgency;
  }

  /** Whether a listed task may still be evicted for a job; earlier decisions of the round may have changed that. */
  isStillEvictable(run: TaskRun, job: Job): boolean {
    if (run.state !== 'running') return false;
    if (run.team !== job.workload.team && this.isReclaimable(run)) return true;
    return urgencies.indexOf(job.workload.urgency) < firstEvictableBand && isLowUrgency(run);
  }

  /** Whether the task uses quota lent by other teams while its own team exceeds its quota. */
  private isReclaimable(run: TaskRun): boolean {
    return run.usesLentQuota && this.state.isOverQuota(run.team);
  }

  private listByHost(isCandidate: (run: TaskRun) => boolean): Map<CellHost, TaskRun[]> {
    const byHost = new Map<CellHost, TaskRun[]>();
    for (const host of this.state.hosts.values()) {
      const runs = [...host.runs.values()].filter(
        run => run.kind === 'batch' && run.state === 'running' && isCandidate(run),
      );
      const allowed = runs.filter(run =>
        this.state.jobs.get(run.workload)?.canEvict(run.index, this.at),
      );
      if (allowed.length > 0) byHost.set(host, allowed);
    }
    return byHost;
  }
}

function isLowUrgency(run: TaskRun): boolean {
  return urgencies.indexOf(run.urgency) >= firstEvictableBand;
}

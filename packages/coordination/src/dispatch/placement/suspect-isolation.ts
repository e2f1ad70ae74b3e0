import type {DispatchState} from '../dispatch-state.js';
import type {Task} from '../task.js';
import type {WorkerView} from '../worker-view.js';

/** Number of crashes from which a task shares its worker with no other suspect. */
const minExclusiveCrashes = 2;

/** Placement costs that come before all preferences but the workers that a task avoids. */
const costs = {
  /** A suspect, for each run that would be lost with the worker. */
  exposedRun: 5,
  /** A suspect beside a run that could also be to blame for a crash. */
  besideNewRun: 200,
  /** Any other task on a worker that a suspect may be about to crash. */
  besideSuspect: 200,
};

/** The runs on a worker that may be about to crash it. */
interface Trials {
  readonly runs: number;
  /** Largest number of crashes of one task. */
  readonly crashes: number;
  /** Whether other tasks may join, because a trial is long. */
  readonly isOpen: boolean;
}

const noTrials: Trials = {runs: 0, crashes: 0, isOpen: true};

/**
 * Keeps tasks that may crash their workers apart, so that a crash tells which of them causes it and little other work is
 * lost. Where there are more suspects than workers, those of a first crash share workers evenly instead of waiting for
 * each other. Serves one placement round.
 */
export class SuspectIsolation {
  private readonly trials = new Map<WorkerView, Trials>();
  /** Number of suspects that may share a worker. */
  private readonly maxTrials: number;

  constructor({submissions, workers}: Pick<DispatchState, 'submissions' | 'workers'>) {
    let count = 0;
    for (const {isActive, suspects} of submissions.values()) {
      if (isActive) count += suspects.size;
      for (const task of suspects) for (const {worker} of task.runs) this.update(worker);
    }
    this.maxTrials = Math.max(1, Math.ceil(count / Math.max(1, workers.size)));
  }

  /** Records the runs of a worker. */
  update(worker: WorkerView): void {
    let {runs, crashes, isOpen} = noTrials;
    for (const run of worker.runs.values()) {
      if (!run.isOnTrial) continue;
      runs += 1;
      crashes = Math.max(crashes, run.task.crashes.count);
      isOpen &&= !run.task.crashes.hasEarly;
    }
    if (runs > 0) this.trials.set(worker, {runs, crashes, isOpen});
    else this.trials.delete(worker);
  }

  /** Whether a worker may get a task. */
  isAllowed(worker: WorkerView, task: Task): boolean {
    const {runs, crashes, isOpen} = this.trials.get(worker) ?? noTrials;
    if (!task.crashes.isSuspect) return isOpen || crashes < minExclusiveCrashes;
    if (crashes >= minExclusiveCrashes) return false;
    return runs < (task.crashes.count >= minExclusiveCrashes ? 1 : this.maxTrials);
  }

  /** Returns what a worker costs a task in addition. */
  getCost(worker: WorkerView, task: Task): number {
    if (!task.crashes.isSuspect) {
      const {isOpen} = this.trials.get(worker) ?? noTrials;
      return isOpen ? 0 : costs.besideSuspect;
    }
    const cost = worker.runs.size * costs.exposedRun;
    return hasNewRun(worker, task) ? cost + costs.besideNewRun : cost;
  }
}

/** Whether a run on a worker could also be to blame for a crash that a task causes. */
function hasNewRun(worker: WorkerView, {crashes}: Task): boolean {
  for (const run of worker.runs.values()) if (!crashes.isOutlived(run.confirmedAgeMs)) return true;
  return false;
}

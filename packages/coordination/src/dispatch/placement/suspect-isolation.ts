import type {ActiveSubmission} from '../active-submission.js';
import type {Task} from '../task.js';
import type {WorkerView} from '../worker-view.js';

/** Number of crashes from which a task shares its worker with no run that could be to blame for the next one. */
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

/**
 * Keeps tasks that may crash their workers apart, so that a crash tells which of them causes it and little other work is
 * lost. Serves one placement round.
 */
export class SuspectIsolation {
  /** Largest number of crashes of a run on trial, by worker. */
  private readonly trials = new Map<WorkerView, number>();

  constructor(submissions: Iterable<ActiveSubmission>) {
    for (const {suspects} of submissions) {
      for (const task of suspects) for (const {worker} of task.runs) this.update(worker);
    }
  }

  /** Records the runs of a worker. */
  update(worker: WorkerView): void {
    let crashes = 0;
    for (const run of worker.runs.values()) {
      if (run.isOnTrial) crashes = Math.max(crashes, run.task.crashes.count);
    }
    if (crashes > 0) this.trials.set(worker, crashes);
    else this.trials.delete(worker);
  }

  /** Whether a worker may get a task. */
  isAllowed(worker: WorkerView, task: Task): boolean {
    const crashes = this.trials.get(worker) ?? 0;
    if (!task.crashes.isSuspect) return crashes < minExclusiveCrashes;
    if (crashes > 0) return false;
    return task.crashes.count < minExclusiveCrashes || !hasNewRun(worker, task);
  }

  /** Returns what a worker costs a task in addition. */
  getCost(worker: WorkerView, task: Task): number {
    if (!task.crashes.isSuspect) return this.trials.has(worker) ? costs.besideSuspect : 0;
    const cost = worker.runs.size * costs.exposedRun;
    return hasNewRun(worker, task) ? cost + costs.besideNewRun : cost;
  }
}

/** Whether a run on a worker could also be to blame for a crash that a task causes. */
function hasNewRun(worker: WorkerView, {crashes}: Task): boolean {
  for (const run of worker.runs.values()) if (!crashes.isOutlived(run.confirmedAgeMs)) return true;
  return false;
}

import type {Step} from '../submissions/index.js';
import type {ActiveSubmission} from './active-submission.js';
import type {WorkerView} from './worker-view.js';

/**
 * State of a run. `unresolved` means that its order had no answer; a stop is on its way, which also bars a
 * start that has not been carried out yet.
 */
export type RunState = 'starting' | 'running' | 'stopping' | 'unresolved';

/** One run of a task on a worker. */
export class Run {
  state: RunState = 'starting';
  percent = 0;
  /** Time of the last change of `percent`. */
  progressAt: number;
  checkpoint = '';
  /** Newest measurement of the run, if any. */
  measurement = 0;
  /** Share in percent at which a filling task works. */
  pace = 100;
  /** Number of the order that is on its way. */
  order = 0;
  /** Time at which the newest order was sent. */
  commandSentAt: number;
  /** Whether this life of the worker has listed the run. */
  isListed = false;

  constructor(
    readonly task: Task,
    readonly number: number,
    readonly worker: WorkerView,
    readonly startedAt: number,
  ) {
    this.progressAt = startedAt;
    this.commandSentAt = startedAt;
  }
}

/** One task of an occurrence of a submission. */
export class Task {
  readonly runs: Run[] = [];
  isFinished = false;
  /** A former owner may have started the task on a worker that has not been heard yet. */
  isStateUnknown = false;
  /** Numbers of the runs that have failed; an end that is listed again to a new owner counts once. */
  readonly failedRuns = new Set<number>();
  checkpoint = '';
  lastRunNumber: number;
  /** Time before which the task is not started again. */
  notBeforeAt = Number.NEGATIVE_INFINITY;
  /** Lives of workers on which a run of the task has failed or stood still. */
  readonly avoidedWorkers = new Set<string>();

  constructor(
    readonly submission: ActiveSubmission,
    readonly name: string,
    readonly occurrence: number,
    readonly stepIndex: number,
    readonly index: number,
    readonly step: Step,
    baseRunNumber: number,
  ) {
    this.lastRunNumber = baseRunNumber;
  }

  /** Whether the task waits for its next run. */
  isWaiting(at: number): boolean {
    return (
      !this.isFinished && !this.isStateUnknown && this.runs.length === 0 && at >= this.notBeforeAt
    );
  }

  /** Removes a run. */
  remove(run: Run): void {
    const index = this.runs.indexOf(run);
    if (index >= 0) this.runs.splice(index, 1);
  }
}

import {getTaskName, type Step} from '../submissions/index.js';
import type {ActiveSubmission} from './active-submission.js';
import type {StepTasks} from './step-tasks.js';
import {CrashHistory} from './supervision/crash-history.js';
import type {WorkerView} from './worker-view.js';

/**
 * State of a run. `unresolved` means that a command had no answer, so the run may or may not be on the worker; a stop
 * has been sent, which also prevents a start that the worker has not executed yet.
 */
export type RunState = 'starting' | 'running' | 'stopping' | 'unresolved';

/** Reasons for which no run of a task may be started. */
export type TaskHold =
  | 'finished'
  /** A previous owner may have started it on a worker that has not reported yet. */
  | 'in-doubt'
  | 'not-due'
  | 'has-run'
  /** The store does not have all crashes of a suspect. */
  | 'crashes-not-stored'
  /** It is not started again before a certain time. */
  | 'delayed';

/** One run of a task on a worker. */
export class Run {
  state: RunState = 'starting';
  /** Progress in percent; a serving task is up once it has reached 100. */
  percent = 0;
  /** Time of the latest change of `percent`. */
  progressAt: number;
  /** Latest checkpoint, from which the run started or that it saved; empty if none. */
  checkpoint = '';
  /** Latest tail latency in milliseconds of a serving task, otherwise thousandths of a core in use; 0 if none. */
  measurement = 0;
  /** Pace of a filling task in percent of full speed; assumed to be full for an adopted run until it has been commanded. */
  pace = 100;
  /** Time of the latest pace command. */
  pacedAt = Number.NEGATIVE_INFINITY;
  /** Whether the worker may run it at another pace, which a previous owner has commanded. */
  isPaceUnsure = false;
  /** Number of the latest start or stop command. */
  order = 0;
  /** Time at which the latest start or stop command was sent. */
  commandSentAt: number;
  /** Whether this incarnation of the worker has listed the run. */
  isListed = false;
  /** Whether it was meant for the worker's former incarnation and is only looked for on this one. */
  isCarriedOver = false;
  /** Progress in percent at which this owner adopted the run; undefined for a run that it has started itself. */
  adoptedPercent?: number;
  /** Time at which the worker confirmed the start, by its answer or a list. */
  confirmedAt?: number;

  constructor(
    readonly task: Task,
    readonly number: number,
    readonly worker: WorkerView,
    readonly startedAt: number,
  ) {
    this.progressAt = startedAt;
    this.commandSentAt = startedAt;
  }

  /** Time in milliseconds for which the worker is known to have had the run; 0 while its start is not confirmed. */
  get confirmedAgeMs(): number {
    return Math.max(0, this.worker.lastReportAt - (this.confirmedAt ?? Number.POSITIVE_INFINITY));
  }

  /** Whether the run may be about to crash its worker, as earlier runs of its task seem to have done. */
  get isOnTrial(): boolean {
    const {crashes} = this.task;
    return crashes.isSuspect && !crashes.isOutlived(this.confirmedAgeMs);
  }
}

/** One task of an occurrence of a submission. */
export class Task {
  readonly runs: Run[] = [];
  /** Whether a previous owner may have started the task on a worker that has not reported yet. */
  isInDoubt: boolean;
  /** Numbers of the failed runs; a set, because a worker lists the same end again to a new owner. */
  readonly failedRuns = new Set<number>();
  /** Worker incarnations that have crashed under the task. */
  crashes = new CrashHistory();
  /** Latest checkpoint of any run; empty if none. */
  checkpoint = '';
  /** Highest run number that may be in use; the next run gets a higher one. */
  lastRunNumber: number;
  /** Whether the task has had a run, under this owner or adopted from the previous one. */
  hasStarted = false;
  /** Time before which the task is not started again. */
  notBefore = Number.NEGATIVE_INFINITY;
  /** Worker incarnations on which a run of the task has failed, stalled or been too slow. */
  readonly avoidedWorkers = new Set<string>();
  /** Name that identifies the task to the workers. */
  readonly name: string;

  constructor(
    readonly group: StepTasks,
    readonly index: number,
    public isFinished = false,
  ) {
    const {submission} = this;
    this.name = getTaskName(submission.id, this.occurrence, this.stepIndex, index);
    this.lastRunNumber = submission.baseRunNumber;
    this.isInDoubt = submission.isInDoubt;
  }

  /** Submission to which the task belongs. */
  get submission(): ActiveSubmission {
    return this.group.occurrence.submission;
  }

  /** Index of its occurrence. */
  get occurrence(): number {
    return this.group.occurrence.index;
  }

  /** Index of its step. */
  get stepIndex(): number {
    return this.group.index;
  }

  /** Its step. */
  get step(): Step {
    return this.group.step;
  }

  /** Whether the task's next run may be started. */
  isWaiting(at: number): boolean {
    return this.getHold(at) === undefined;
  }

  /** Returns why the task's next run may not be started, or undefined when it may. */
  getHold(at: number): TaskHold | undefined {
    if (this.isFinished) return 'finished';
    if (this.isInDoubt) return 'in-doubt';
    if (!this.group.occurrence.isDue) return 'not-due';
    if (this.runs.length > 0) return 'has-run';
    // A crash that the next owner does not know of would not count.
    if (this.crashes.isSuspect && !this.submission.areCrashesStored) return 'crashes-not-stored';
    return at < this.notBefore ? 'delayed' : undefined;
  }

  /** Adds a run. */
  add(run: Run): void {
    this.runs.push(run);
    this.group.keep(this);
  }

  /** Removes a run. */
  remove(run: Run): void {
    const index = this.runs.indexOf(run);
    if (index >= 0) this.runs.splice(index, 1);
    this.group.forgetIfFinished(this);
  }
}

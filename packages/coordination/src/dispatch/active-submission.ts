import {
  FinishedTasks,
  getDueMs,
  getOccurrenceCount,
  getQueuePolicy,
  isLasting,
  isSamePolicy,
  isTimed,
  endedSubmissionBytes,
  getSubmissionBytes,
  maxOpenSteps,
  type CheckpointRow,
  type CrashRow,
  type FailureRow,
  type ProgressRecord,
  type QueuePolicy,
  type Submission,
  type SubmissionStatus,
} from '../submissions/index.js';
import {getSubmissionWork} from './cost/index.js';
import {toIdentity} from './deferred-submissions.js';
import type {EndCause} from './end-cause.js';
import {Occurrence} from './occurrence.js';
import {CrashHistory} from './supervision/crash-history.js';
import type {Task} from './task.js';

/** Options of `ActiveSubmission`. */
export interface ActiveSubmissionOptions {
  readonly submission: Submission;
  /** Settings of the queue in the present configuration; undefined when it is not configured. */
  readonly queue: QueuePolicy | undefined;
  readonly progress?: ProgressRecord;
  /** Time at which the submission was accepted. */
  readonly arrivedAt: number;
  /** Highest run number that previous owners may have used. */
  readonly baseRunNumber?: number;
  /** Whether a previous owner may have started tasks. */
  readonly isInDoubt?: boolean;
}

/** A submission that is being processed, or whose final state is still kept for callers. */
export class ActiveSubmission {
  submission: Submission;
  /** Memory in bytes that it may need without its runs. */
  bytes: number;
  /** Work of one occurrence in core-milliseconds, by the submitter's estimates. */
  readonly work: number;
  /** Settings of the queue, from the latest configuration that contained it; undefined when they are not known. */
  queue: QueuePolicy | undefined;
  /** Time from which the age of the submission is measured. */
  readonly arrivedAt: number;
  /** Whether it has serving tasks, which run until it is cancelled. */
  readonly isLasting: boolean;
  /** Occurrences that have become due; finished ones are removed once they have no runs. */
  readonly occurrences: Occurrence[] = [];
  /** Open occurrences that a previous owner has started, but that are not due yet on the clock of this one. */
  private readonly earlyOccurrences = new Set<Occurrence>();
  /** Decided final state; callers see it only once it is stored. */
  final?: ProgressRecord['final'];
  /** What decided the final state; undefined for a completed submission and for one that a previous owner has ended. */
  endCause?: EndCause;
  isFinalStored = false;
  /** Whether it could not meet its objective any more while tasks were waiting. */
  isLate = false;
  /** Unix time in milliseconds at which the final state was decided; 0 before that. */
  endedAtMs = 0;
  /** Whether a run is known to have started or a task to have finished. */
  hasStarted = false;
  /** Numbers of ended and of failed runs, by worker incarnation. */
  private readonly runEndCounts = new Map<string, {ends: number; failures: number}>();
  /** Whether a previous owner may have started tasks on workers that have not reported yet. */
  isInDoubt: boolean;
  private nextOccurrence = 0;
  /** Highest run number that previous owners may have used. */
  readonly baseRunNumber: number;
  finished: FinishedTasks;
  /** Stored failures and checkpoints, which tasks get when their occurrence opens. */
  private readonly failures: readonly FailureRow[];
  private readonly checkpoints: readonly CheckpointRow[];
  private readonly crashes: readonly CrashRow[];
  /** Tasks that may crash workers. */
  readonly suspects = new Set<Task>();
  /** Whether the store has all crashes of its tasks. */
  areCrashesStored = true;

  constructor(options: ActiveSubmissionOptions) {
    const {submission, progress} = options;
    this.submission = submission;
    this.bytes = getSubmissionBytes(submission);
    this.work = getSubmissionWork(submission.steps);
    this.queue = options.queue ?? progress?.policy ?? submission.policy;
    this.arrivedAt = options.arrivedAt;
    this.isLasting = isLasting(submission);
    this.baseRunNumber = options.baseRunNumber ?? 0;
    this.isInDoubt = options.isInDoubt ?? false;
    this.finished = FinishedTasks.fromRecord(progress?.finished ?? {});
    this.failures = progress?.failures ?? [];
    this.checkpoints = progress?.checkpoints ?? [];
    this.crashes = progress?.crashes ?? [];
    this.hasStarted = Object.keys(progress?.finished ?? {}).length > 0;
    if (progress?.final !== undefined) {
      this.final = progress.final;
      this.isFinalStored = true;
      this.endedAtMs = progress.endedAtMs ?? 0;
    }
  }

  /** Id chosen by the caller. */
  get id(): string {
    return this.submission.id;
  }

  /** Service whose workers run the tasks. */
  get service(): string {
    return this.queue?.service ?? this.submission.service;
  }

  /** Whether no final state has been decided yet; tasks start only until then. */
  get isActive(): boolean {
    return this.final === undefined;
  }

  /** Whether nothing is known of its tasks that the store does not have. */
  get isUntouched(): boolean {
    if (!this.isActive || this.hasStarted) return false;
    for (const task of this.getKnownTasks()) if (task.hasStarted) return false;
    return true;
  }

  /** State shown to callers: a final state only after it has been stored. */
  get status(): SubmissionStatus {
    if (this.final !== undefined && this.isFinalStored) return this.final;
    return this.hasStarted ? 'running' : 'queued';
  }

  /** Sets the settings of the queue; returns whether tasks are processed in another way because of that. */
  setQueue(queue: QueuePolicy): boolean {
    const former = this.queue;
    this.queue = queue;
    return former === undefined || !isSamePolicy(former, queue);
  }

  /** Returns a task that has failed too often to be started again, or undefined when there is none. */
  findExhaustedTask(maxAttempts: number): Task | undefined {
    for (const task of this.getKnownTasks()) {
      const {isFinished, failedRuns, step} = task;
      if (!isFinished && !step.lasting && failedRuns.size >= maxAttempts) return task;
    }
    return undefined;
  }

  /** Opens the occurrences that have become due; returns whether tasks may start because of that. */
  openDueOccurrences(at: number, wallMs: number): boolean {
    let hasOpened = this.releaseDueOccurrences(wallMs);
    while (this.nextOccurrence < getOccurrenceCount(this.submission)) {
      if (getDueMs(this.submission, this.nextOccurrence) > wallMs || this.isWindowFull) break;
      this.openNextOccurrence(at, wallMs);
      hasOpened = true;
    }
    return hasOpened;
  }

  /** Opens all occurrences up to one that a previous owner has started; its tasks do not start before they are due. */
  openStartedOccurrence(index: number, at: number, wallMs: number): void {
    const count = Math.min(index + 1, getOccurrenceCount(this.submission));
    while (this.nextOccurrence < count) this.openNextOccurrence(at, wallMs);
  }

  /** Whether the steps contain a task, also when its occurrence is not open. */
  hasTask(occurrence: number, step: number, index: number): boolean {
    const {steps} = this.submission;
    return occurrence < getOccurrenceCount(this.submission) && index < (steps[step]?.count ?? 0);
  }

  /** Allows the tasks of occurrences that were opened early to start once they are due. */
  private releaseDueOccurrences(wallMs: number): boolean {
    let hasReleased = false;
    for (const occurrence of this.earlyOccurrences) {
      if (getDueMs(this.submission, occurrence.index) > wallMs) continue;
      occurrence.isDue = true;
      this.earlyOccurrences.delete(occurrence);
      hasReleased = true;
    }
    return hasReleased;
  }

  private openNextOccurrence(at: number, wallMs: number): void {
    const dueMs = getDueMs(this.submission, this.nextOccurrence);
    const dueAt = isTimed(this.submission) ? at - (wallMs - dueMs) : this.arrivedAt;
    const occurrence = new Occurrence(this, this.nextOccurrence, dueAt, dueMs <= wallMs);
    if (!occurrence.isFinished) this.occurrences.push(occurrence);
    if (!occurrence.isDue) this.earlyOccurrences.add(occurrence);
    this.restoreTasks(occurrence);
    this.nextOccurrence += 1;
  }

  /** Whether no further occurrence is opened until one is finished. */
  private get isWindowFull(): boolean {
    // Serving tasks do not end, so later occurrences would never be opened.
    if (this.isLasting) return false;
    const {length: stepCount} = this.submission.steps;
    const openCount = this.occurrences.filter(occurrence => !occurrence.isFinished).length;
    return openCount > 0 && (openCount + 1) * stepCount > maxOpenSteps;
  }

  /** Number of finished tasks of all occurrences. */
  get finishedCount(): number {
    return this.finished.count;
  }

  /** Whether every task of every occurrence is finished. */
  get isFinished(): boolean {
    return (
      this.nextOccurrence >= getOccurrenceCount(this.submission) &&
      this.occurrences.every(occurrence => occurrence.isFinished)
    );
  }

  /** Returns a task by its position, or undefined when its occurrence is not open or the step has no such task. */
  getTask(occurrence: number, step: number, index: number): Task | undefined {
    const group = this.getOccurrence(occurrence)?.steps[step];
    const isTask = group !== undefined && index >= 0 && index < group.count;
    return isTask ? group.getTask(index) : undefined;
  }

  /** Returns an occurrence, or undefined when it is not open. */
  getOccurrence(index: number): Occurrence | undefined {
    return this.occurrences.find(occurrence => occurrence.index === index);
  }

  /** Counts the end of a run on a worker incarnation. */
  recordRunEnd(life: string, isFailure: boolean): void {
    const counts = this.runEndCounts.get(life) ?? {ends: 0, failures: 0};
    counts.ends += 1;
    if (isFailure) counts.failures += 1;
    this.runEndCounts.set(life, counts);
  }

  /** Returns how many runs have ended on other worker incarnations, and how many of them failed. */
  getRunEndsElsewhere(life: string): {readonly ends: number; readonly failures: number} {
    let ends = 0;
    let failures = 0;
    for (const [other, counts] of this.runEndCounts) {
      if (other === life) continue;
      ends += counts.ends;
      failures += counts.failures;
    }
    return {ends, failures};
  }

  /** Drops finished occurrences that have no runs left, but keeps at least one occurrence. */
  dropFinishedOccurrences(): void {
    for (let i = this.occurrences.length - 1; i >= 0; i -= 1) {
      const occurrence = this.occurrences[i];
      if (!occurrence?.isFinished) continue;
      const isBusy = occurrence.steps.some(({knownTasks}) =>
        [...knownTasks].some(task => task.runs.length > 0),
      );
      if (!isBusy && this.occurrences.length > 1) this.occurrences.splice(i, 1);
    }
  }

  /** Yields the tasks of the open occurrences that have objects: those with runs, and others of which something is known. */
  *getKnownTasks(): Generator<Task> {
    for (const occurrence of this.occurrences) {
      for (const {knownTasks} of occurrence.steps) yield* knownTasks;
    }
  }

  /** Allows all tasks to start: the workers have listed all remaining runs of previous owners. */
  clearInDoubt(): void {
    this.isInDoubt = false;
    for (const task of this.getKnownTasks()) task.isInDoubt = false;
  }

  /** Returns the record to be stored. */
  toRecord(): ProgressRecord {
    const failures: FailureRow[] = [];
    const checkpoints: CheckpointRow[] = [];
    const crashes: CrashRow[] = [];
    if (this.final === undefined) {
      for (const task of this.getKnownTasks()) {
        if (task.isFinished) continue;
        const {occurrence, stepIndex, index} = task;
        if (task.failedRuns.size > 0) {
          failures.push([occurrence, stepIndex, index, [...task.failedRuns]]);
        }
        if (task.crashes.count > 0) {
          crashes.push([occurrence, stepIndex, index, ...task.crashes.lives]);
        }
        if (task.checkpoint !== '') {
          checkpoints.push([occurrence, stepIndex, index, task.checkpoint]);
        }
      }
      const isUnopened = ([occurrence]: readonly [number, ...unknown[]]) =>
        occurrence >= this.nextOccurrence;
      failures.push(...this.failures.filter(isUnopened));
      checkpoints.push(...this.checkpoints.filter(isUnopened));
      crashes.push(...this.crashes.filter(isUnopened));
    }
    return {
      ...(this.final !== undefined && {final: this.final, endedAtMs: this.endedAtMs}),
      finished: this.final === undefined ? this.finished.toRecord() : {},
      failures,
      checkpoints,
      ...(crashes.length > 0 && {crashes}),
      ...this.getChangedPolicy(),
    };
  }

  /** Returns the settings of the queue for the record, unless the submission's own record has them. */
  private getChangedPolicy(): Pick<ProgressRecord, 'policy'> {
    const {queue, submission} = this;
    if (queue === undefined || this.final !== undefined) return {};
    if (submission.policy !== undefined && isSamePolicy(queue, submission.policy)) return {};
    return {policy: getQueuePolicy(queue)};
  }

  /** Drops what only its tasks need; its final state is stored and it has no runs left. */
  release(): void {
    this.submission = toIdentity(this.submission);
    this.bytes = endedSubmissionBytes;
    this.occurrences.length = 0;
    this.earlyOccurrences.clear();
    this.suspects.clear();
    this.finished = new FinishedTasks();
  }

  /** Applies what is stored of the tasks of an occurrence. */
  private restoreTasks(occurrence: Occurrence): void {
    for (const [task, runs] of this.selectRows(occurrence, this.failures)) {
      for (const run of runs) task.failedRuns.add(run);
    }
    for (const [task, checkpoint] of this.selectRows(occurrence, this.checkpoints)) {
      task.checkpoint = checkpoint;
    }
    for (const [task, early, late] of this.selectRows(occurrence, this.crashes)) {
      task.crashes = new CrashHistory(early, late);
      if (task.crashes.isSuspect) this.suspects.add(task);
    }
  }

  /** Yields the values of the stored rows of an occurrence's unfinished tasks, each with its task. */
  private *selectRows<Values extends readonly unknown[]>(
    {index, steps}: Occurrence,
    rows: ReadonlyArray<readonly [number, number, number, ...Values]>,
  ): Generator<[Task, ...Values]> {
    for (const [occurrence, step, taskIndex, ...values] of rows) {
      const group = occurrence === index ? steps[step] : undefined;
      if (group === undefined || taskIndex < 0 || taskIndex >= group.count) continue;
      const task = group.getTask(taskIndex);
      if (!task.isFinished) yield [task, ...values];
    }
  }
}

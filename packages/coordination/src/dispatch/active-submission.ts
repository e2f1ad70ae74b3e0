import {
  FinishedTasks,
  getDueMs,
  getOccurrenceCount,
  getTaskName,
  getQueuePolicy,
  isLasting,
  isSamePolicy,
  isTimed,
  type CheckpointRow,
  type CrashRow,
  type FailureRow,
  type ProgressRecord,
  type QueuePolicy,
  type Step,
  type Submission,
  type SubmissionStatus,
} from '../submissions/index.js';
import {CrashHistory} from './supervision/crash-history.js';
import {Task} from './task.js';

/** The tasks of one step of one occurrence. */
export class StepTasks {
  /** Number of finished tasks. */
  finished = 0;
  /** Whether a run has worked for longer than one that crashes its worker. */
  hasSurvivor = false;

  constructor(
    readonly occurrence: number,
    readonly index: number,
    readonly step: Step,
    readonly tasks: readonly Task[],
  ) {}

  /** Whether all tasks are finished. */
  get isFinished(): boolean {
    return this.finished >= this.tasks.length;
  }

  /** Whether any of the tasks may crash workers, so that they start one by one until one of them works. */
  get isOnTrial(): boolean {
    if (this.hasSurvivor || this.finished > 0 || this.step.gang) return false;
    return this.tasks.some(task => task.crashes.isSuspect);
  }
}

/** One occurrence of a submission; an unscheduled submission has exactly one. */
export class Occurrence {
  /** Whether it has been seen running. */
  hasRun = false;
  /** Time since which it has not been seen running. */
  idleSince: number;

  constructor(
    readonly index: number,
    /** Time from which its objective is measured. */
    readonly dueAt: number,
    readonly steps: readonly StepTasks[],
  ) {
    this.idleSince = dueAt;
  }

  /** Records the number of its runs. */
  recordRuns(runs: number, at: number): void {
    if (runs > 0) {
      this.hasRun = true;
      this.idleSince = at;
    }
  }

  /** Whether all tasks of all steps are finished. */
  get isFinished(): boolean {
    return this.steps.every(step => step.isFinished);
  }

  /** Returns the unfinished steps whose predecessors are all finished. */
  getReadySteps(): StepTasks[] {
    return this.steps.filter(
      step => !step.isFinished && step.step.after.every(before => this.steps[before]?.isFinished),
    );
  }
}

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
  readonly submission: Submission;
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
  isFinalStored = false;
  /** Unix time in milliseconds at which the final state was decided; 0 before that. */
  endedAtMs = 0;
  /** Whether a run is known to have started or a task to have finished. */
  hasStarted = false;
  /** Numbers of ended and of failed runs, by worker incarnation. */
  private readonly runEndCounts = new Map<string, {ends: number; failures: number}>();
  private isInDoubt: boolean;
  private nextOccurrence = 0;
  private readonly baseRunNumber: number;
  private readonly finished: FinishedTasks;
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

  /** Whether a task has failed too often to be started again. */
  hasExhaustedTask(maxAttempts: number): boolean {
    for (const task of this.getTasks()) {
      const {isFinished, failedRuns, step} = task;
      if (!isFinished && !step.lasting && failedRuns.size >= maxAttempts) return true;
    }
    return false;
  }

  /** Opens the occurrences that have become due; returns whether tasks may start because of that. */
  openDueOccurrences(at: number, wallMs: number): boolean {
    let hasOpened = this.releaseDueOccurrences(wallMs);
    while (this.nextOccurrence < getOccurrenceCount(this.submission)) {
      if (getDueMs(this.submission, this.nextOccurrence) > wallMs) break;
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
      for (const {tasks} of occurrence.steps) for (const task of tasks) task.isDue = true;
      this.earlyOccurrences.delete(occurrence);
      hasReleased = true;
    }
    return hasReleased;
  }

  private openNextOccurrence(at: number, wallMs: number): void {
    const dueMs = getDueMs(this.submission, this.nextOccurrence);
    const dueAt = isTimed(this.submission) ? at - (wallMs - dueMs) : this.arrivedAt;
    const occurrence = this.createOccurrence(this.nextOccurrence, dueAt);
    if (!occurrence.isFinished) this.occurrences.push(occurrence);
    if (dueMs > wallMs) this.earlyOccurrences.add(occurrence);
    for (const {tasks} of occurrence.steps) for (const task of tasks) task.isDue = dueMs <= wallMs;
    this.nextOccurrence += 1;
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

  /** Returns a task by its position, or undefined when its occurrence is not open. */
  getTask(occurrence: number, step: number, index: number): Task | undefined {
    return this.getOccurrence(occurrence)?.steps[step]?.tasks[index];
  }

  /** Returns the tasks of the step to which a task belongs, or undefined when its occurrence is not open. */
  getStepTasks(task: Task): StepTasks | undefined {
    return this.getOccurrence(task.occurrence)?.steps[task.stepIndex];
  }

  /** Returns an occurrence, or undefined when it is not open. */
  getOccurrence(index: number): Occurrence | undefined {
    return this.occurrences.find(occurrence => occurrence.index === index);
  }

  /** Marks a task as finished; returns false when it already was. */
  finish(task: Task): boolean {
    if (!this.finished.add(task.occurrence, task.stepIndex, task.index)) return false;
    task.isFinished = true;
    const step = this.getOccurrence(task.occurrence)?.steps[task.stepIndex];
    if (step) step.finished += 1;
    return true;
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
      const busy = occurrence.steps.some(step => step.tasks.some(task => task.runs.length > 0));
      if (!busy && this.occurrences.length > 1) this.occurrences.splice(i, 1);
    }
  }

  /** Yields all tasks of the open occurrences. */
  *getTasks(): Generator<Task> {
    for (const occurrence of this.occurrences) {
      for (const step of occurrence.steps) yield* step.tasks;
    }
  }

  /** Allows all tasks to start: the workers have listed all remaining runs of previous owners. */
  clearInDoubt(): void {
    this.isInDoubt = false;
    for (const task of this.getTasks()) task.isInDoubt = false;
  }

  /** Returns the record to be stored. */
  toRecord(): ProgressRecord {
    const failures: FailureRow[] = [];
    const checkpoints: CheckpointRow[] = [];
    const crashes: CrashRow[] = [];
    if (this.final === undefined) {
      for (const task of this.getTasks()) {
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

  /** Returns the submission without what only its tasks need. */
  toFinishedSubmission(): Submission {
    const {id, queue, service, repetitions, startAtMs, intervalMs, acceptedAtMs} = this.submission;
    const identity = {id, queue, service, acceptedAtMs};
    return {...identity, repetitions, startAtMs, intervalMs, spec: '', steps: []};
  }

  private createOccurrence(index: number, dueAt: number): Occurrence {
    const steps = this.submission.steps.map((step, stepIndex) => {
      const tasks = Array.from({length: step.count}, (_, taskIndex) =>
        this.createTask(index, stepIndex, taskIndex, step),
      );
      const group = new StepTasks(index, stepIndex, step, tasks);
      group.finished = tasks.filter(task => task.isFinished).length;
      return group;
    });
    return new Occurrence(index, dueAt, steps);
  }

  private createTask(occurrence: number, stepIndex: number, index: number, step: Step): Task {
    const name = getTaskName(this.id, occurrence, stepIndex, index);
    const task = new Task(this, name, occurrence, stepIndex, index, step, this.baseRunNumber);
    task.isFinished = this.finished.has(occurrence, stepIndex, index);
    task.isInDoubt = this.isInDoubt;
    const isTaskRow = (row: readonly [number, number, number, ...unknown[]]) =>
      row[0] === occurrence && row[1] === stepIndex && row[2] === index;
    for (const run of this.failures.find(isTaskRow)?.[3] ?? []) task.failedRuns.add(run);
    task.checkpoint = this.checkpoints.find(isTaskRow)?.[3] ?? '';
    const [, , , early, late] = this.crashes.find(isTaskRow) ?? [];
    task.crashes = new CrashHistory(early, late);
    if (task.crashes.isSuspect) this.suspects.add(task);
    return task;
  }
}

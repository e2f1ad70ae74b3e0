import type {ItemSet} from '../tasks/ledger/item-set.js';
import type {Step} from '../submissions/index.js';
import type {Occurrence} from './occurrence.js';
import {Task, type TaskHold} from './task.js';

const noTasks: ReadonlyMap<number, Task> = new Map();

/**
 * The tasks of one step of one occurrence. Only a task that differs from the others, because it has been started, has an
 * object of its own; the others are alike and are counted. So a wide step costs memory for its runs, not for its tasks.
 */
export class StepTasks {
  /** Whether a run has worked for longer than one that crashes its worker. */
  hasSurvivor = false;
  private readonly finished: ItemSet;
  /** Number of finished tasks; the stored set of an odd record may contain others. */
  private finishedCount: number;
  /** Tasks with an object, by index. */
  private known = noTasks;
  /** Index below which every task is finished or known. */
  private firstFresh = 0;

  constructor(
    readonly occurrence: Occurrence,
    readonly index: number,
    readonly step: Step,
  ) {
    this.finished = occurrence.submission.finished.getSet(occurrence.index, index);
    this.finishedCount = this.finished.countBelow(step.count);
  }

  /** Number of tasks. */
  get count(): number {
    return this.step.count;
  }

  /** Number of tasks that are not finished. */
  get unfinishedCount(): number {
    return this.count - this.finishedCount;
  }

  /** Whether all tasks are finished. */
  get isFinished(): boolean {
    return this.unfinishedCount <= 0;
  }

  /** Whether any of the tasks may crash workers, so that they start one by one until one of them works. */
  get isOnTrial(): boolean {
    const {gang, lasting} = this.step;
    // Each serving task is to be started again soon, whatever becomes of the others.
    if (this.hasSurvivor || this.finishedCount > 0 || gang || lasting) return false;
    for (const task of this.known.values()) if (task.crashes.isSuspect) return true;
    return false;
  }

  /** Index of the first unfinished task; `count` when all are finished. */
  get firstUnfinishedIndex(): number {
    let index = 0;
    while (index < this.count && this.finished.has(index)) index += 1;
    return index;
  }

  /** Tasks with an object: all that have runs, and unfinished ones of which something is known. */
  get knownTasks(): Iterable<Task> {
    return this.known.values();
  }

  /** Number of unfinished tasks without a run. */
  get idleCount(): number {
    let count = this.unfinishedCount;
    for (const task of this.known.values()) {
      if (!task.isFinished && task.runs.length > 0) count -= 1;
    }
    return count;
  }

  /** Returns a task; throws a `RangeError` when the step has no task with this index. */
  getTask(index: number): Task {
    const task = this.known.get(index);
    if (task !== undefined) return task;
    if (!Number.isInteger(index) || index < 0 || index >= this.count) {
      throw new RangeError(`no task ${index} in a step of ${this.count} tasks`);
    }
    const created = new Task(this, index, this.finished.has(index));
    this.keep(created);
    return created;
  }

  /** Whether a task may be started. */
  hasWaiting(at: number): boolean {
    if (this.freshHold === undefined && this.freshCount > 0) return true;
    for (const task of this.known.values()) if (task.isWaiting(at)) return true;
    return false;
  }

  /** Whether every task may be started. */
  areAllWaiting(at: number): boolean {
    if (this.finishedCount > 0 || (this.freshHold !== undefined && this.freshCount > 0))
      return false;
    for (const task of this.known.values()) if (!task.isWaiting(at)) return false;
    return true;
  }

  /** Returns how many of the unfinished tasks may not be started, by reason. */
  countHolds(at: number): Map<TaskHold, number> {
    const counts = new Map<TaskHold, number>();
    const add = (hold: TaskHold | undefined, count: number) => {
      if (hold !== undefined && count > 0) counts.set(hold, (counts.get(hold) ?? 0) + count);
    };
    add(this.freshHold, this.freshCount);
    for (const task of this.known.values()) if (!task.isFinished) add(task.getHold(at), 1);
    return counts;
  }

  /** Yields the tasks that may be started: those that have been started before, then the others by index. */
  *getWaiting(at: number): Generator<Task> {
    for (const task of [...this.known.values()]) if (task.isWaiting(at)) yield task;
    if (this.freshHold !== undefined) return;
    for (; this.firstFresh < this.count; this.firstFresh += 1) {
      if (this.finished.has(this.firstFresh) || this.known.has(this.firstFresh)) continue;
      yield this.getTask(this.firstFresh);
    }
  }

  /** Marks a task as finished; returns false when it already was. */
  finish(task: Task): boolean {
    if (!this.finished.add(task.index)) return false;
    this.finishedCount += 1;
    task.isFinished = true;
    this.forgetIfFinished(task);
    return true;
  }

  /** Marks all tasks as finished. */
  finishAll(): void {
    for (let index = 0; index < this.count; index += 1) this.finished.add(index);
    this.finishedCount = this.count;
    for (const task of [...this.known.values()]) {
      task.isFinished = true;
      this.forgetIfFinished(task);
    }
  }

  /** Drops the object of a task that is finished and has no runs left. */
  forgetIfFinished(task: Task): void {
    if (!task.isFinished || task.runs.length > 0 || this.known.get(task.index) !== task) return;
    (this.known as Map<number, Task>).delete(task.index);
  }

  /** Keeps the object of a task that has got a run although it is finished. */
  keep(task: Task): void {
    if (task.isFinished && task.runs.length === 0) return;
    if (this.known === noTasks) this.known = new Map();
    (this.known as Map<number, Task>).set(task.index, task);
  }

  /** Why tasks without an object may not be started; undefined when they may. */
  private get freshHold(): TaskHold | undefined {
    const {submission, isDue} = this.occurrence;
    if (submission.isInDoubt) return 'in-doubt';
    return isDue ? undefined : 'not-due';
  }

  /** Number of unfinished tasks without an object. */
  private get freshCount(): number {
    let unfinished = this.unfinishedCount;
    for (const task of this.known.values()) if (!task.isFinished) unfinished -= 1;
    return Math.max(0, unfinished);
  }
}

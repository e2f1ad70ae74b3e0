import {ItemSet} from '../tasks/ledger/item-set.js';
import type {QueuePolicy} from './submission.js';

/** Failed runs of one task: occurrence, step, index and their run numbers. */
export type FailureRow = readonly [number, number, number, readonly number[]];

/** Checkpoint of one task: occurrence, step, index and the value. */
export type CheckpointRow = readonly [number, number, number, string];

/**
 * Worker incarnations that crashed under one task: occurrence, step, index, those that crashed soon after the start of
 * the run, and those that crashed later.
 */
export type CrashRow = readonly [number, number, number, readonly string[], readonly string[]];

/** Stored progress of a submission, from which a new owner continues. */
export interface ProgressRecord {
  /** Final state, absent while the submission is active. */
  readonly final?: 'completed' | 'failed' | 'cancelled';
  /** Unix time in milliseconds at which the final state was reached. */
  readonly endedAtMs?: number;
  /** Indices of the finished tasks by `occurrence.step`, in the hexadecimal text form of `ItemSet`. */
  readonly finished: Readonly<Record<string, string>>;
  readonly failures: readonly FailureRow[];
  readonly checkpoints: readonly CheckpointRow[];
  /** Absent without crashes, and in records of older versions. */
  readonly crashes?: readonly CrashRow[];
  /** Settings of the queue, if they have changed since the submission was accepted. */
  readonly policy?: QueuePolicy;
}

/** Finished tasks of one submission. */
export class FinishedTasks {
  private readonly sets = new Map<string, ItemSet>();

  /** Creates the set from its stored form. */
  static fromRecord(finished: Readonly<Record<string, string>>): FinishedTasks {
    const tasks = new FinishedTasks();
    for (const [key, text] of Object.entries(finished)) tasks.sets.set(key, ItemSet.fromText(text));
    return tasks;
  }

  /** Whether a task is finished. */
  has(occurrence: number, step: number, index: number): boolean {
    return this.sets.get(`${occurrence}.${step}`)?.has(index) ?? false;
  }

  /** Adds a task; returns false when it was already in the set. */
  add(occurrence: number, step: number, index: number): boolean {
    return this.getSet(occurrence, step).add(index);
  }

  /** Returns the set of a step of an occurrence, to which finished tasks may be added. */
  getSet(occurrence: number, step: number): ItemSet {
    const key = `${occurrence}.${step}`;
    let set = this.sets.get(key);
    if (set === undefined) this.sets.set(key, (set = new ItemSet()));
    return set;
  }

  /** Number of finished tasks of a step of an occurrence. */
  getCount(occurrence: number, step: number): number {
    return this.sets.get(`${occurrence}.${step}`)?.size ?? 0;
  }

  /** Number of finished tasks of all steps. */
  get count(): number {
    let count = 0;
    for (const set of this.sets.values()) count += set.size;
    return count;
  }

  /** Returns the stored form, without empty sets. */
  toRecord(): Record<string, string> {
    const sets = [...this.sets].filter(([, set]) => set.size > 0);
    return Object.fromEntries(sets.map(([key, set]) => [key, set.toText()]));
  }
}

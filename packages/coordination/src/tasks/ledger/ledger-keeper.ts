import type {CellSchedulerEffect} from '../events.js';
import {ItemSet} from './item-set.js';
import type {LedgerRecord, LedgerTask} from './ledger-record.js';

/** Minimum interval between ledger writes; opening urgent work skips it. */
export const ledgerIntervalMs = 1_000;

/** Time after which an unanswered read is repeated. */
const readRetryMs = 1_000;

/** A terminal report that is acknowledged once the next ledger write has succeeded. */
export interface PendingAcknowledgement {
  readonly host: string;
  readonly task: string;
  readonly attempt: number;
}

/** Write whose result is not yet known. */
interface WriteInFlight {
  readonly sequence: number;
  readonly opening: readonly string[];
  readonly acknowledgements: readonly PendingAcknowledgement[];
}

/** Changes that an answer of the store caused. */
export interface LedgerProgress {
  readonly effects: readonly CellSchedulerEffect[];
  readonly opened: readonly string[];
  readonly acknowledgements: readonly PendingAcknowledgement[];
  /** Whether the first write of this term has succeeded, so that the loaded record can be relied on. */
  readonly claimed: boolean;
  /** Whether another owner has written with a higher term. */
  readonly deposed: boolean;
  /** Workloads opened by a previous owner that were found only when the record was read again. */
  readonly foundOpened: readonly string[];
}

const noProgress: LedgerProgress = {
  effects: [],
  opened: [],
  acknowledgements: [],
  claimed: false,
  deposed: false,
  foundOpened: [],
};

/**
 * Maintains the ledger of a cell: opened workloads, finished items and checkpoints. A workload is opened by a ledger
 * write before its first task starts, so that a new owner knows which workloads may have running tasks. Changes are
 * written in batches by compare-and-swap; the first write of a term claims the ledger, so that no later write of a
 * previous owner can succeed and the record that was read is still current.
 */
export class LedgerKeeper {
  private term = 0;
  private sequence = 0;
  private revision = 0;
  /** Phase of the term: the record is read, then claimed by the first write, then ready for changes. */
  private phase: 'idle' | 'reading' | 'claiming' | 'ready' = 'idle';
  private readAt = 0;
  private writtenAt = Number.NEGATIVE_INFINITY;
  private isDirty = false;
  private urgent = false;
  private inFlight?: WriteInFlight;
  private isRereading = false;
  private readonly openedNames = new Set<string>();
  /** Workloads whose opening is not yet known to be written. */
  private readonly opening = new Set<string>();
  private readonly finishedItems = new Map<string, ItemSet>();
  private readonly done = new Set<string>();
  private readonly tasks = new Map<string, LedgerTask>();
  private readonly acknowledgements = new Map<string, PendingAcknowledgement>();

  /** Whether the ledger was read and claimed in the current term. */
  get ready(): boolean {
    return this.phase === 'ready';
  }

  /** Starts a term: clears all state and reads the record. */
  begin(term: number, at: number): CellSchedulerEffect[] {
    this.term = term;
    this.sequence = 0;
    this.phase = 'reading';
    this.inFlight = undefined;
    this.isRereading = false;
    this.isDirty = false;
    this.urgent = false;
    this.openedNames.clear();
    this.opening.clear();
    this.finishedItems.clear();
    this.done.clear();
    this.tasks.clear();
    this.acknowledgements.clear();
    this.writtenAt = Number.NEGATIVE_INFINITY;
    return this.read(at);
  }

  /** Ends the term. */
  end(): void {
    this.phase = 'idle';
    this.inFlight = undefined;
  }

  /** Whether a successful write has opened the workload. */
  isOpened(workload: string): boolean {
    return this.openedNames.has(workload);
  }

  /** Opened workloads. */
  get opened(): ReadonlySet<string> {
    return this.openedNames;
  }

  /** Opens a workload with the next write; `urgent` writes at the next flush without waiting for the interval. */
  open(workload: string, urgent: boolean): void {
    if (this.openedNames.has(workload) || this.opening.has(workload)) return;
    this.opening.add(workload);
    this.isDirty = true;
    if (urgent) this.urgent = true;
  }

  /** Deletes a removed workload and its tasks. */
  removeWorkload(workload: string): void {
    this.opening.delete(workload);
    if (!this.openedNames.delete(workload)) return;
    this.finishedItems.delete(workload);
    this.done.delete(workload);
    for (const task of this.tasks.keys()) {
      if (task.startsWith(`${workload}/`)) this.tasks.delete(task);
    }
    this.isDirty = true;
  }

  /** Whether an item of a batch job is finished, including items not yet written to the store. */
  isFinished(workload: string, index: number): boolean {
    return this.done.has(workload) || this.finishedItems.get(workload)?.has(index) === true;
  }

  /** Number of finished items of a job with `tasks` items. */
  getFinishedCount(workload: string, tasks: number): number {
    if (this.done.has(workload)) return tasks;
    return Math.min(tasks, this.finishedItems.get(workload)?.size ?? 0);
  }

  /** Records a finished item. */
  recordFinished(workload: string, index: number, tasks: number): void {
    let items = this.finishedItems.get(workload);
    if (!items) {
      items = new ItemSet();
      this.finishedItems.set(workload, items);
    }
    if (!items.add(index)) return;
    this.tasks.delete(`${workload}/${index}`);
    if (items.size >= tasks) this.done.add(workload);
    this.isDirty = true;
  }

  /** Returns the entry of an unfinished task, if any. */
  getTask(task: string): LedgerTask | undefined {
    return this.tasks.get(task);
  }

  /** Records a checkpoint or an eviction. */
  putTask(task: string, entry: LedgerTask): void {
    this.tasks.set(task, entry);
    this.isDirty = true;
  }

  /** Acknowledges a report after the next write. */
  acknowledgeAfterWrite(acknowledgement: PendingAcknowledgement): void {
    const {host, task, attempt} = acknowledgement;
    const isSame = (other: PendingAcknowledgement) =>
      other.task === task && other.attempt === attempt && other.host === host;
    // Agents resend reports until they are acknowledged, which takes long during a store outage.
    if (this.inFlight?.acknowledgements.some(isSame)) return;
    const key = `${host} ${task} ${attempt}`;
    if (this.acknowledgements.has(key)) return;
    this.acknowledgements.set(key, acknowledgement);
    this.isDirty = true;
  }

  /** Writes pending changes when the interval allows it, and retries unanswered reads. */
  flush(at: number): CellSchedulerEffect[] {
    if (this.phase === 'idle') return [];
    if (this.phase === 'reading' || this.isRereading) {
      return at - this.readAt >= readRetryMs ? this.read(at) : [];
    }
    if (this.inFlight || this.phase !== 'ready' || !this.isDirty) return [];
    if (!this.urgent && at - this.writtenAt < ledgerIntervalMs) return [];
    return [this.write(at)];
  }

  /** Handles the answer to a read: claims the ledger, or resolves a write whose result is unknown. */
  onRead(record: LedgerRecord | undefined, revision: number, at: number): LedgerProgress {
    if (this.phase === 'idle') return noProgress;
    if (record && record.term > this.term) {
      this.phase = 'idle';
      return {...noProgress, deposed: true};
    }
    if (this.phase === 'reading') {
      this.load(record);
      this.revision = revision;
      this.phase = 'claiming';
      return {...noProgress, effects: [this.write(at)]};
    }
    if (!this.isRereading) return noProgress;
    this.isRereading = false;
    const pending = this.inFlight;
    if (record && record.term === this.term && record.sequence === pending?.sequence) {
      return this.completeWrite(pending, revision);
    }
    // The write has not taken effect. If it still arrives, compare-and-swap lets only one of the two writes succeed.
    const openedBefore = new Set(this.openedNames);
    if (revision !== this.revision) this.load(record);
    this.revision = revision;
    this.requeueAcknowledgements(pending);
    const newlyOpened = [...this.openedNames].filter(name => !openedBefore.has(name));
    const isOwnWrite = record?.term === this.term;
    return {
      ...noProgress,
      effects: [this.write(at)],
      opened: isOwnWrite ? newlyOpened : [],
      foundOpened: isOwnWrite ? [] : newlyOpened,
    };
  }

  /** Handles the result of a write. */
  onWritten(
    sequence: number,
    result: 'written' | 'conflict' | 'unknown',
    revision: number,
    at: number,
  ): LedgerProgress {
    const pending = this.inFlight;
    if (!pending || pending.sequence !== sequence) return noProgress;
    if (result === 'written') return this.completeWrite(pending, revision);
    this.isRereading = true;
    return {...noProgress, effects: this.read(at)};
  }

  private read(at: number): CellSchedulerEffect[] {
    this.readAt = at;
    return [{kind: 'read-ledger'}];
  }

  private completeWrite(pending: WriteInFlight, revision: number): LedgerProgress {
    this.inFlight = undefined;
    this.revision = revision;
    const claimed = this.phase === 'claiming';
    this.phase = 'ready';
    const opened = pending.opening.filter(name => this.opening.delete(name));
    for (const name of opened) this.openedNames.add(name);
    return {...noProgress, opened, acknowledgements: pending.acknowledgements, claimed};
  }

  private requeueAcknowledgements(pending: WriteInFlight | undefined): void {
    this.inFlight = undefined;
    for (const acknowledgement of pending?.acknowledgements ?? []) {
      this.acknowledgeAfterWrite(acknowledgement);
    }
  }

  /** Merges a record into the state; changes that are not yet written are kept. */
  private load(record: LedgerRecord | undefined): void {
    for (const [name, workload] of Object.entries(record?.workloads ?? {})) {
      this.openedNames.add(name);
      this.opening.delete(name);
      if (workload.done) this.done.add(name);
      const items = this.finishedItems.get(name) ?? new ItemSet();
      const writtenItems = ItemSet.fromText(workload.finished);
      for (let index = 0; index < workload.finished.length * 4; index += 1) {
        if (writtenItems.has(index)) items.add(index);
      }
      this.finishedItems.set(name, items);
    }
    for (const [task, entry] of Object.entries(record?.tasks ?? {})) {
      if (!this.tasks.has(task)) this.tasks.set(task, entry);
    }
  }

  private write(at: number): CellSchedulerEffect {
    this.sequence += 1;
    this.writtenAt = at;
    this.isDirty = false;
    this.urgent = false;
    this.inFlight = {
      sequence: this.sequence,
      opening: [...this.opening],
      acknowledgements: [...this.acknowledgements.values()],
    };
    this.acknowledgements.clear();
    const workloads: Record<string, {finished: string; done: boolean}> = {};
    for (const name of [...this.openedNames, ...this.opening]) {
      const done = this.done.has(name);
      const items = this.finishedItems.get(name);
      workloads[name] = {finished: done || !items ? '' : items.toText(), done};
    }
    return {
      kind: 'write-ledger',
      sequence: this.sequence,
      record: {
        format: 1,
        term: this.term,
        sequence: this.sequence,
        workloads,
        tasks: Object.fromEntries(this.tasks),
      },
      expectedRevision: this.revision,
    };
  }
}

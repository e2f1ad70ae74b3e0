import {
  type DeferredSubmission,
  type RosterEntry,
  type StoredSubmission,
  type WriteResult,
} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import {parseRoster} from './record-parsers.js';
import type {CommitResult, RecordStore, StoredRecord} from './record-store.js';
import {
  cancelPrefix,
  progressPrefix,
  rosterKey,
  submissionPrefix,
  workPrefix,
} from './store-keys.js';
import {StoredSubmissions} from './stored-submissions.js';

/** State that a new owner loads from the store before it starts to dispatch. */
export interface StoredState {
  readonly submissions: readonly StoredSubmission[];
  /** Submissions for which there is no memory. */
  readonly deferred: readonly DeferredSubmission[];
  readonly roster: readonly RosterEntry[];
  /** Revision from which a watch on the submissions can continue. */
  readonly revision: number;
}

/** Delay in milliseconds before a load with a failed read is retried. */
const readRetryDelayMs = 200;

/**
 * Stands for the workers of an unreadable roster. No worker ever reports as it, so the new owner waits until all leases
 * that its predecessor may have granted have expired.
 */
const unknownWorker: RosterEntry = {agent: '', life: 'unreadable-roster'};

/** Options of `readStoredState`. */
export interface StoredStateOptions {
  readonly store: RecordStore;
  readonly log: DecisionLogger;
  /** Memory in bytes for submissions; beyond it, the largest are deferred. */
  readonly maxBytes: number;
  /** Whether the state is still needed. */
  readonly shouldContinue: () => boolean;
}

/** Long-poll time in milliseconds of a watch that only collects the changes so far. */
const catchUpWaitMs = 1;

/**
 * Reads the stored state ahead of a claim, and completes it once the claim has taken effect. The progress of submissions
 * is written only by the owner, on condition that it owns the key. The state is therefore complete with all changes up
 * to the revision of the claim.
 */
export class StoredStateReader {
  private stored: StoredSubmissions;
  /** Revisions of the work and of the progress from which the changes are to be read; undefined after a failure. */
  private readonly listed: Promise<ListedRevisions | undefined>;
  private isCancelled = false;

  /** Starts to read. */
  constructor(private readonly options: Omit<StoredStateOptions, 'shouldContinue'>) {
    this.stored = this.createStored();
    this.listed = this.list();
  }

  /** Resolves when the read ahead has ended, to whether it has succeeded. */
  async waitUntilRead(): Promise<boolean> {
    return (await this.listed) !== undefined;
  }

  /** Ignores all further records; the state is then read again by `finish`. */
  cancel(): void {
    this.isCancelled = true;
    this.stored = this.createStored();
  }

  /**
   * Returns the state with all changes up to `revision`, that of a claim of this process, or later ones; reads it again in
   * full when the changes cannot be read. Undefined once `shouldContinue` returns false.
   */
  async finish(revision: number, shouldContinue: () => boolean): Promise<StoredState | undefined> {
    const {store, log} = this.options;
    let workRead = this.catchUp(revision);
    let isFirst = true;
    while (shouldContinue()) {
      const [workRevision, roster] = await Promise.all([workRead, store.read(rosterKey)]);
      if (workRevision !== undefined && roster.kind === 'ok') {
        return {
          submissions: this.stored.getLoaded(),
          deferred: this.stored.getDeferred(),
          roster: readRoster(roster.record, log),
          revision: workRevision,
        };
      }
      if (!isFirst || roster.kind !== 'ok') await delay(readRetryDelayMs);
      isFirst = false;
      if (workRevision === undefined) workRead = this.listAgain();
    }
    return undefined;
  }

  private createStored(): StoredSubmissions {
    return new StoredSubmissions(this.options.log, this.options.maxBytes);
  }

  private async listAgain(): Promise<number | undefined> {
    this.isCancelled = false;
    this.stored = this.createStored();
    return (await this.list())?.work;
  }

  private async list(): Promise<ListedRevisions | undefined> {
    const {store} = this.options;
    const {stored} = this;
    const onPage = (records: readonly StoredRecord[]) => {
      if (!this.isCancelled) stored.add(records);
    };
    const [work, progress] = await Promise.all([
      store.list(workPrefix, {onPage}),
      store.list(progressPrefix, {onPage}),
    ]);
    if (work.kind !== 'ok' || progress.kind !== 'ok') return undefined;
    return {work: work.revision, progress: progress.revision};
  }

  /** Applies the changes since the read ahead; returns the revision of the work, or undefined when that has failed. */
  private async catchUp(revision: number): Promise<number | undefined> {
    const listed = await this.listed;
    if (listed === undefined || this.isCancelled) return undefined;
    const [work, progress] = await Promise.all([
      this.applyChanges(workPrefix, listed.work, revision),
      this.applyChanges(progressPrefix, listed.progress, revision),
    ]);
    return progress === undefined ? undefined : work;
  }

  /** Applies the changes between two revisions; returns the revision reached, or undefined when that has failed. */
  private async applyChanges(
    prefix: string,
    from: number,
    until: number,
  ): Promise<number | undefined> {
    if (from >= until) return from;
    const result = await this.options.store.watch(prefix, from, catchUpWaitMs);
    if (result.kind !== 'ok' || result.revision < until) return undefined;
    this.stored.apply(result.changes);
    return result.revision;
  }
}

/** Revisions of the store at which the lists of a read ahead began. */
interface ListedRevisions {
  readonly work: number;
  readonly progress: number;
}

/**
 * Loads the submissions with their progress, retrying on failure; undefined once `shouldContinue` returns false. A
 * submission with an unreadable record is left out and logged: without its progress, finished tasks would run again.
 */
export function readStoredState(options: StoredStateOptions): Promise<StoredState | undefined> {
  return new StoredStateReader(options).finish(0, options.shouldContinue);
}

/**
 * Reads one submission with its progress and its cancel request, retrying on failure; undefined when it has no readable
 * record, or once `shouldContinue` returns false.
 */
export async function readSubmission(
  id: string,
  {store, log, shouldContinue}: Omit<StoredStateOptions, 'maxBytes'>,
): Promise<StoredSubmission | undefined> {
  while (shouldContinue()) {
    const results = await Promise.all(
      [submissionPrefix, progressPrefix, cancelPrefix].map(prefix => store.read(prefix + id)),
    );
    const stored = new StoredSubmissions(log);
    for (const result of results)
      if (result.kind === 'ok' && result.record) stored.add([result.record]);
    if (results.every(({kind}) => kind === 'ok')) return stored.getLoaded()[0];
    await delay(readRetryDelayMs);
  }
  return undefined;
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function readRoster(record: StoredRecord | undefined, log: DecisionLogger): readonly RosterEntry[] {
  if (record === undefined) return [];
  const roster = parseRoster(record.value);
  const {key, revision} = record;
  if (roster === undefined) log.warn('record-unreadable', {key, revision});
  return roster ?? [unknownWorker];
}

/** Converts the result of a commit for the dispatcher; `unavailable` means that the write had no effect. */
export function toWriteResult(result: CommitResult): WriteResult {
  switch (result.kind) {
    case 'ok':
    case 'conflict':
      return result.kind;
    case 'no-lease':
    case 'refused':
      return 'unavailable';
    case 'unknown':
      return 'unknown';
  }
}

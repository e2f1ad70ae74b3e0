import type {
  OwnerRecord,
  ProgressRecord,
  RosterEntry,
  StoredSubmission,
  Submission,
  WriteResult,
} from '@chervilbeam/coordination';
import type {CommitResult, RecordStore, StoredRecord} from './record-store.js';
import {
  cancelPrefix,
  progressPrefix,
  rosterKey,
  submissionPrefix,
  workPrefix,
} from './store-keys.js';

/** State that a new owner loads from the store before it starts to dispatch. */
export interface StoredState {
  readonly submissions: readonly StoredSubmission[];
  readonly roster: readonly RosterEntry[];
  /** Revision from which a watch on the submissions can continue. */
  readonly revision: number;
}

/** Delay in milliseconds before a load with a failed read is retried. */
const readRetryDelayMs = 200;

/**
 * Loads all submissions with their progress, retrying on failure; undefined once `shouldContinue` returns false. A
 * submission that is not valid JSON is left out; rejects with a SyntaxError when a progress record or the roster is not
 * valid JSON.
 */
export async function readStoredState(
  store: RecordStore,
  shouldContinue: () => boolean,
): Promise<StoredState | undefined> {
  while (shouldContinue()) {
    const [work, progress, roster] = await Promise.all([
      store.list(workPrefix),
      store.list(progressPrefix),
      store.read(rosterKey),
    ]);
    if (work.kind === 'ok' && progress.kind === 'ok' && roster.kind === 'ok') {
      return {
        submissions: joinRecords(work.records, progress.records),
        roster: roster.record ? (JSON.parse(roster.record.value) as RosterEntry[]) : [],
        revision: work.revision,
      };
    }
    await new Promise(resolve => setTimeout(resolve, readRetryDelayMs));
  }
  return undefined;
}

function joinRecords(
  work: readonly StoredRecord[],
  progress: readonly StoredRecord[],
): StoredSubmission[] {
  const progressById = new Map(
    progress.map(record => [
      record.key.slice(progressPrefix.length),
      JSON.parse(record.value) as ProgressRecord,
    ]),
  );
  const cancelled = new Set(
    work
      .filter(record => record.key.startsWith(cancelPrefix))
      .map(record => record.key.slice(cancelPrefix.length)),
  );
  const stored: StoredSubmission[] = [];
  for (const record of work) {
    if (!record.key.startsWith(submissionPrefix)) continue;
    const submission = parseSubmission(record.value);
    if (submission === undefined) continue;
    const progressRecord = progressById.get(submission.id);
    stored.push({
      submission,
      cancelled: cancelled.has(submission.id),
      ...(progressRecord && {progress: progressRecord}),
    });
  }
  return stored;
}

/** Parses a stored submission; undefined when it is not valid JSON. */
export function parseSubmission(value: string): Submission | undefined {
  try {
    return JSON.parse(value) as Submission;
  } catch {
    return undefined;
  }
}

/** Parses a stored owner record; undefined when it is not valid JSON. */
export function parseOwner(value: string): OwnerRecord | undefined {
  try {
    return JSON.parse(value) as OwnerRecord;
  } catch {
    return undefined;
  }
}

/** Stored record of a running entry. */
export interface EntryRecord {
  /** Address at which other processes reach the entry. */
  readonly address: string;
  /** Number of processors available to the entry. */
  readonly processors: number;
}

/** Parses the stored record of an entry; undefined when it is not valid JSON or has no address. */
export function parseEntry(value: string): EntryRecord | undefined {
  try {
    const {address, processors} = JSON.parse(value) as Partial<EntryRecord>;
    return typeof address === 'string' ? {address, processors: processors ?? 0} : undefined;
  } catch {
    return undefined;
  }
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

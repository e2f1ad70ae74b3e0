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

/** Everything that an owner reads before it begins. */
export interface StoredState {
  readonly submissions: readonly StoredSubmission[];
  readonly roster: readonly RosterEntry[];
  readonly revision: number;
}

/** Time in milliseconds between two attempts to read everything. */
const readRetryMs = 200;

/** Reads all submissions with their progress; undefined when `isWanted` turns false. */
export async function readStoredState(
  store: RecordStore,
  isWanted: () => boolean,
): Promise<StoredState | undefined> {
  while (isWanted()) {
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
    await new Promise(resolve => setTimeout(resolve, readRetryMs));
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
    const known = progressById.get(submission.id);
    stored.push({
      submission,
      cancelled: cancelled.has(submission.id),
      ...(known && {progress: known}),
    });
  }
  return stored;
}

/** Reads a stored submission; undefined when it cannot be read. */
export function parseSubmission(value: string): Submission | undefined {
  try {
    return JSON.parse(value) as Submission;
  } catch {
    return undefined;
  }
}

/** Reads the stored owner; undefined when it cannot be read. */
export function parseOwner(value: string): OwnerRecord | undefined {
  try {
    return JSON.parse(value) as OwnerRecord;
  } catch {
    return undefined;
  }
}

/** An entry that is up, as the store holds it. */
export interface EntryRecord {
  /** Address for other processes of the system. */
  readonly address: string;
  /** Processors that the entry has. */
  readonly processors: number;
}

/** Reads the stored record of an entry; undefined when it cannot be read. */
export function parseEntry(value: string): EntryRecord | undefined {
  try {
    const {address, processors} = JSON.parse(value) as Partial<EntryRecord>;
    return typeof address === 'string' ? {address, processors: processors ?? 0} : undefined;
  } catch {
    return undefined;
  }
}

/** Returns what the dispatcher is told of a write. */
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

import type {
  ProgressRecord,
  RosterEntry,
  StoredSubmission,
  WriteResult,
} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import {parseProgress, parseRoster, parseSubmission} from './record-parsers.js';
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

interface ReadProgress {
  /** Undefined when the record is unreadable. */
  readonly progress: ProgressRecord | undefined;
  readonly revision: number;
}

/** Delay in milliseconds before a load with a failed read is retried. */
const readRetryDelayMs = 200;

/**
 * Stands for the workers of an unreadable roster. No worker ever reports as it, so the new owner waits until all leases
 * that its predecessor may have granted have expired.
 */
const unknownWorker: RosterEntry = {agent: '', life: 'unreadable-roster'};

/**
 * Loads all submissions with their progress, retrying on failure; undefined once `shouldContinue` returns false. A
 * submission with an unreadable record is left out and logged: without its progress, finished tasks would run again.
 */
export async function readStoredState(
  store: RecordStore,
  log: DecisionLogger,
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
        submissions: joinRecords(work.records, progress.records, log),
        roster: readRoster(roster.record, log),
        revision: work.revision,
      };
    }
    await new Promise(resolve => setTimeout(resolve, readRetryDelayMs));
  }
  return undefined;
}

function readRoster(record: StoredRecord | undefined, log: DecisionLogger): readonly RosterEntry[] {
  if (record === undefined) return [];
  const roster = parseRoster(record.value);
  if (roster === undefined) logUnreadable(record, log);
  return roster ?? [unknownWorker];
}

function logUnreadable({key, revision}: StoredRecord, log: DecisionLogger): void {
  log.warn('record-unreadable', {key, revision});
}

function joinRecords(
  work: readonly StoredRecord[],
  progress: readonly StoredRecord[],
  log: DecisionLogger,
): StoredSubmission[] {
  const progressById = new Map<string, ReadProgress>();
  for (const record of progress) {
    const parsed = parseProgress(record.value);
    if (parsed === undefined) logUnreadable(record, log);
    const {revision} = record;
    progressById.set(record.key.slice(progressPrefix.length), {progress: parsed, revision});
  }
  const cancelled = new Set(
    work
      .filter(record => record.key.startsWith(cancelPrefix))
      .map(record => record.key.slice(cancelPrefix.length)),
  );
  const stored: StoredSubmission[] = [];
  for (const record of work) {
    if (!record.key.startsWith(submissionPrefix)) continue;
    const id = record.key.slice(submissionPrefix.length);
    const submission = parseSubmission(record.value);
    if (submission?.id !== id) {
      logUnreadable(record, log);
      continue;
    }
    const read = progressById.get(id);
    if (read && read.progress === undefined) continue;
    stored.push({
      submission,
      cancelled: cancelled.has(submission.id),
      ...(read?.progress && {progress: read.progress, progressRevision: read.revision}),
    });
  }
  return stored;
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

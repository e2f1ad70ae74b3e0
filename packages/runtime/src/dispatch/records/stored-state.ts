import {
  type DeferredSubmission,
  type EvacuationSet,
  type RosterEntry,
  type StoredSubmission,
  type WriteResult,
} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import type {EvacuationSource} from './evacuation-source.js';
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
  /** Evacuated data centres; absent on a platform without evacuations. */
  readonly evacuations?: EvacuationSet;
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
  /** Absent on a platform without evacuations. */
  readonly evacuations?: EvacuationSource | undefined;
  /** Whether the state is still needed. */
  readonly shouldContinue: () => boolean;
}

/**
 * Loads the submissions with their progress, retrying on failure; undefined once `shouldContinue` returns false. A
 * submission with an unreadable record is left out and logged: without its progress, finished tasks would run again.
 */
export async function readStoredState(
  options: StoredStateOptions,
): Promise<StoredState | undefined> {
  const {store, log, shouldContinue, evacuations: source} = options;
  while (shouldContinue()) {
    const stored = new StoredSubmissions(log, options.maxBytes);
    const onPage = (records: readonly StoredRecord[]) => stored.add(records);
    const [work, progress, roster, evacuations] = await Promise.all([
      store.list(workPrefix, {onPage}),
      store.list(progressPrefix, {onPage}),
      store.read(rosterKey),
      source?.read(),
    ]);
    const areEvacuationsRead = source === undefined || evacuations !== undefined;
    const isRead = work.kind === 'ok' && progress.kind === 'ok' && roster.kind === 'ok';
    if (isRead && areEvacuationsRead) {
      return {
        submissions: stored.getLoaded(),
        deferred: stored.getDeferred(),
        roster: readRoster(roster.record, log),
        ...(evacuations && {evacuations}),
        revision: work.revision,
      };
    }
    await new Promise(resolve => setTimeout(resolve, readRetryDelayMs));
  }
  return undefined;
}

/**
 * Reads one submission with its progress and its cancel request, retrying on failure; undefined when it has no readable
 * record, or once `shouldContinue` returns false.
 */
export async function readSubmission(
  id: string,
  {store, log, shouldContinue}: Omit<StoredStateOptions, 'maxBytes' | 'evacuations'>,
): Promise<StoredSubmission | undefined> {
  while (shouldContinue()) {
    const results = await Promise.all(
      [submissionPrefix, progressPrefix, cancelPrefix].map(prefix => store.read(prefix + id)),
    );
    const stored = new StoredSubmissions(log);
    for (const result of results)
      if (result.kind === 'ok' && result.record) stored.add([result.record]);
    if (results.every(({kind}) => kind === 'ok')) return stored.getLoaded()[0];
    await new Promise(resolve => setTimeout(resolve, readRetryDelayMs));
  }
  return undefined;
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

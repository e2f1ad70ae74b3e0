import {
  checkStoredDraft,
  getQueuePolicy,
  isRecord,
  type OwnerRecord,
  type ProgressRecord,
  type QueueAdvice,
  type QueuePolicy,
  type RosterEntry,
  type Submission,
} from '@chervilbeam/coordination';
import {isProcessAddress} from '../../addresses/index.js';
import type {StoredRecord} from './record-store.js';

/*
 * The parsers return only the fields that they have checked. Owners write most records again, and a field that was kept
 * unchecked could be nested too deeply to be written.
 */

/** Largest number of processors of one entry; a larger one is a mistake and would delay the claims of all others. */
const maxProcessors = 10_000;

const generationPattern = /^\d{1,15}$/;

const finalStates = new Set<unknown>(['completed', 'failed', 'cancelled']);

/** Stored record of a running entry. */
export interface EntryRecord {
  /** Address at which other processes reach the entry. */
  readonly address: string;
  /** Number of processors that the entry can use as the owner. */
  readonly processors: number;
}

/** Parses a stored submission, also a finished one without steps; undefined when the record is unreadable. */
export function parseSubmission(value: string): Submission | undefined {
  const record = parseRecord(value);
  if (record === undefined) return undefined;
  const {id, queue, service, acceptedAtMs, steps} = record;
  const texts = [id, queue, service];
  if (!texts.every(text => typeof text === 'string') || !Number.isFinite(acceptedAtMs)) {
    return undefined;
  }
  const identity = {id, queue, service, acceptedAtMs} as Pick<
    Submission,
    'id' | 'queue' | 'service' | 'acceptedAtMs'
  >;
  if (Array.isArray(steps) && steps.length === 0) {
    const {repetitions, startAtMs, intervalMs} = record;
    return {
      ...identity,
      spec: '',
      steps: [],
      repetitions: toNumber(repetitions),
      startAtMs: toNumber(startAtMs),
      intervalMs: toNumber(intervalMs),
    };
  }
  const {draft} = checkStoredDraft(record);
  if (draft === undefined) return undefined;
  // Records of older versions have no policy.
  if (record.policy === undefined) return {...identity, ...draft};
  const policy = parsePolicy(record.policy);
  return policy && {...identity, ...draft, policy};
}

function parsePolicy(value: unknown): QueuePolicy | undefined {
  if (!isRecord(value)) return undefined;
  const {key, name, service, priority, maxAttempts, stretchFactor, targetLatencyMs, advice} = value;
  const areTexts = [key, name, service].every(text => typeof text === 'string');
  const areNumbers = [priority, maxAttempts, stretchFactor, targetLatencyMs].every(Number.isFinite);
  if (!areTexts || !areNumbers) return undefined;
  const policy = getQueuePolicy({...value, advice: undefined} as unknown as QueuePolicy);
  if (advice === undefined) return policy;
  const {decisionMs, perWorkerMs} = isRecord(advice) ? advice : {};
  if (!Number.isFinite(decisionMs) || !Number.isFinite(perWorkerMs)) return undefined;
  return {...policy, advice: {decisionMs, perWorkerMs} as QueueAdvice};
}

/** Returns the queue of a stored submission; undefined when it cannot be read. */
export function parseQueueOf(value: string): string | undefined {
  const queue = parseRecord(value)?.queue;
  return typeof queue === 'string' ? queue : undefined;
}

/** Parses the stored progress of a submission; undefined when the record is unreadable. */
export function parseProgress(value: string): ProgressRecord | undefined {
  const record = parseRecord(value);
  if (record === undefined) return undefined;
  const {final, endedAtMs, finished, failures, checkpoints, crashes} = record;
  const isFinalValid = final === undefined || finalStates.has(final);
  const areRowsValid =
    isTaskRows(failures, isRunNumbers) &&
    isTaskRows(checkpoints, checkpoint => typeof checkpoint === 'string');
  if (!isFinalValid || !areRowsValid || !areFinishedTasksValid(finished)) return undefined;
  // Records of older versions have no crashes.
  if (crashes !== undefined && !areCrashesValid(crashes)) return undefined;
  const policy = record.policy === undefined ? undefined : parsePolicy(record.policy);
  if (record.policy !== undefined && policy === undefined) return undefined;
  return {
    ...(final !== undefined && {final}),
    ...(Number.isFinite(endedAtMs) && {endedAtMs}),
    finished,
    failures,
    checkpoints,
    ...(crashes !== undefined && {crashes}),
    ...(policy && {policy}),
  } as ProgressRecord;
}

/** Whether all rows have an occurrence, a step, an index and a valid value. */
function isTaskRows(rows: unknown, isValid: (value: unknown) => boolean): boolean {
  if (!Array.isArray(rows)) return false;
  return rows.every(
    (row: unknown) =>
      Array.isArray(row) &&
      row.length === 4 &&
      row.slice(0, 3).every(Number.isSafeInteger) &&
      isValid(row[3]),
  );
}

function isRunNumbers(value: unknown): boolean {
  return Array.isArray(value) && value.every(Number.isSafeInteger);
}

function areFinishedTasksValid(finished: unknown): boolean {
  return isRecord(finished) && Object.values(finished).every(text => typeof text === 'string');
}

function areCrashesValid(crashes: unknown): boolean {
  const isLives = (value: unknown) =>
    Array.isArray(value) && value.every(life => typeof life === 'string');
  return (
    Array.isArray(crashes) &&
    crashes.every(
      (row: unknown) =>
        Array.isArray(row) &&
        row.length === 5 &&
        row.slice(0, 3).every(Number.isSafeInteger) &&
        isLives(row[3]) &&
        isLives(row[4]),
    )
  );
}

/** Parses the stored roster; undefined when the record is unreadable. */
export function parseRoster(value: string): readonly RosterEntry[] | undefined {
  return parseAll(parseJson(value), entry => {
    if (!isRecord(entry)) return undefined;
    const {agent, life, hasLongLease} = entry;
    if (typeof agent !== 'string' || typeof life !== 'string') return undefined;
    return {agent, life, ...(hasLongLease === true && {hasLongLease})};
  });
}

/**
 * Parses the stored generation; undefined when it is not a number of claims that the store can have seen: each claim
 * increases the revision.
 */
export function parseGeneration({value, revision}: StoredRecord): number | undefined {
  if (!generationPattern.test(value)) return undefined;
  const generation = Number(value);
  return generation <= revision ? generation : undefined;
}

/** Parses a stored owner record; undefined when the record is unreadable. */
export function parseOwner(value: string): OwnerRecord | undefined {
  return toOwner(parseJson(value));
}

/** Parses the stored list of owners; undefined when the record is unreadable. */
export function parseOwners(value: string): readonly OwnerRecord[] | undefined {
  return parseAll(parseJson(value), toOwner);
}

function toOwner(record: unknown): OwnerRecord | undefined {
  if (!isRecord(record)) return undefined;
  const {name, address, nonce} = record;
  if (typeof name !== 'string' || typeof nonce !== 'string' || !isProcessAddress(address))
    return undefined;
  return {name, address, nonce};
}

/** Converts all entries of a list; undefined when it is not a list or one of them is invalid. */
function parseAll<T>(
  list: unknown,
  convert: (entry: unknown) => T | undefined,
): readonly T[] | undefined {
  if (!Array.isArray(list)) return undefined;
  const entries = list.map(convert);
  return entries.every(entry => entry !== undefined) ? (entries as T[]) : undefined;
}

/** Parses the stored record of an entry; undefined when it is not valid JSON or has no valid address. */
export function parseEntry(value: string): EntryRecord | undefined {
  const record = parseRecord(value);
  if (record === undefined || !isProcessAddress(record.address)) return undefined;
  const {address, processors} = record;
  const isAmount = typeof processors === 'number' && processors >= 0 && processors <= maxProcessors;
  return {address, processors: isAmount ? processors : 0};
}

function parseRecord(value: string): Readonly<Record<string, unknown>> | undefined {
  const record = parseJson(value);
  return isRecord(record) ? record : undefined;
}

function parseJson(value: string): unknown {
  try {
    return JSON.parse(value) as unknown;
  } catch {
    return undefined;
  }
}

function toNumber(value: unknown): number {
  return typeof value === 'number' && Number.isFinite(value) ? value : 0;
}

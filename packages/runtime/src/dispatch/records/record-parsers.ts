import {
  checkDraft,
  isRecord,
  type OwnerRecord,
  type ProgressRecord,
  type RosterEntry,
  type Submission,
} from '@chervilbeam/coordination';

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
  const submission = record as unknown as Submission;
  if (Array.isArray(steps) && steps.length === 0) return submission;
  const {draft} = checkDraft(record);
  return draft && {...submission, ...draft};
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
  const {final, finished, failures, checkpoints, crashes} = record;
  const isFinalValid = final === undefined || finalStates.has(final);
  const areRowsValid = [failures, checkpoints].every(
    rows => Array.isArray(rows) && rows.every(row => Array.isArray(row) && row.length === 4),
  );
  if (!areRowsValid || !isFinalValid) return undefined;
  const areValuesValid =
    (failures as unknown[][]).every(row => Array.isArray(row[3])) &&
    (checkpoints as unknown[][]).every(row => typeof row[3] === 'string');
  if (!areValuesValid || !areFinishedTasksValid(finished)) return undefined;
  // Records of older versions have no crashes.
  if (crashes !== undefined && !areCrashesValid(crashes)) return undefined;
  return record as unknown as ProgressRecord;
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
        Array.isArray(row) && row.length === 5 && isLives(row[3]) && isLives(row[4]),
    )
  );
}

/** Parses the stored roster; undefined when the record is unreadable. */
export function parseRoster(value: string): readonly RosterEntry[] | undefined {
  const entries = parseJson(value);
  const isValid =
    Array.isArray(entries) &&
    entries.every(
      (entry: unknown) =>
        isRecord(entry) && typeof entry.agent === 'string' && typeof entry.life === 'string',
    );
  return isValid ? (entries as RosterEntry[]) : undefined;
}

/** Parses a stored owner record; undefined when the record is unreadable. */
export function parseOwner(value: string): OwnerRecord | undefined {
  const record = parseRecord(value);
  const isValid =
    typeof record?.address === 'string' &&
    typeof record.name === 'string' &&
    typeof record.nonce === 'string';
  return isValid ? (record as unknown as OwnerRecord) : undefined;
}

/** Parses the stored list of owners; undefined when the record is unreadable. */
export function parseOwners(value: string): readonly OwnerRecord[] | undefined {
  const entries = parseJson(value);
  if (!Array.isArray(entries)) return undefined;
  const owners = entries.map((entry: unknown) => parseOwner(JSON.stringify(entry)));
  return owners.every(owner => owner !== undefined) ? owners : undefined;
}

/** Parses the stored record of an entry; undefined when it is not valid JSON or has no address. */
export function parseEntry(value: string): EntryRecord | undefined {
  const record = parseRecord(value);
  if (typeof record?.address !== 'string') return undefined;
  const {address, processors} = record;
  return {address, processors: typeof processors === 'number' ? processors : 0};
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

import {isRecord} from '@chervilbeam/coordination';
import {type FieldChecks, findBadField, FrameError} from '../../framing/index.js';

const runOutcomes = new Set<unknown>(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']);

const attemptStates = new Set<unknown>(['stored', 'unresolved', 'none']);

/** Required fields of each kind of message on a `Link`. Other fields are optional or ignored. */
const fieldChecksByKind: Readonly<Record<string, FieldChecks>> = {
  agent: {agent: 'string', dataCentre: 'string', incarnation: 'number'},
  worker: {worker: isWorker, former: isOptionalFormerWorker},
  'worker-gone': {
    life: 'string',
    reason: 'string',
    silentMs: isOptionalNumber,
  },
  report: {
    life: 'string',
    term: 'number',
    token: isOptionalNumber,
    clockMs: 'number',
    ends: rows => isRows(rows, isEndRow),
    running: rows => rows === undefined || isRows(rows, isRunRow),
  },
  result: {
    order: 'number',
    term: isOptionalNumber,
    outcome: isOutcome,
  },
  owner: {
    term: 'number',
    token: isOptionalNumber,
    entries: isTexts,
    evacuations: set => set === undefined || isEvacuationSet(set),
  },
  evacuations: {revision: isRevision, dataCentres: isTexts},
  elsewhere: {entries: isTexts},
  lease: {
    life: 'string',
    term: 'number',
    token: isOptionalNumber,
    deadlineMs: 'number',
    acknowledged: 'number',
  },
  start: {
    order: 'number',
    life: 'string',
    term: 'number',
    task: 'string',
    run: 'number',
    deadlineMs: 'number',
    spec: isOptionalText,
    checkpoint: isOptionalText,
    ticket: isOptionalText,
  },
  stop: {order: 'number', life: 'string', term: 'number', task: 'string', run: 'number'},
  pace: {life: 'string', term: 'number', task: 'string', run: 'number', percent: 'number'},
  entry: {name: 'string'},
  query: {request: 'number', id: 'string'},
  attempt: {request: 'number', id: 'string'},
  'ownership-end': {request: 'number', nonce: 'string'},
  count: {request: 'number', queue: 'string'},
  cancelled: {id: 'string'},
  'cancel-received': {id: 'string'},
  'handover-query': {request: 'number'},
  'handover-offer': {request: 'number', term: 'number'},
  'handover-candidate': {
    request: 'number',
    isAvailable: 'boolean',
    processors: 'number',
    roundTripMs: 'number',
  },
  'handover-result': {request: 'number', isTaken: 'boolean', reason: isOptionalText},
  call: {request: 'number', call: isCall},
  status: {request: 'number', isOwner: 'boolean'},
  'attempt-state': {request: 'number', state: state => attemptStates.has(state)},
  'ownership-ended': {request: 'number', agoMs: isOptionalNumber},
  pending: {request: 'number'},
  reply: {request: 'number', reply: isReply},
  'queue-backlogs': {
    groups: rows => isRows(rows, row => isNamedRow(row, 4) || isNamedRow(row, 1)),
    queues: rows => isRows(rows, row => isNamedRow(row, 3)),
    memory: row =>
      row === undefined || (isRows([row], isNumbers) && (row as unknown[]).length === 4),
    cost: isOptionalCost,
  },
};

/**
 * Checks a message of another process. Returns false when its kind is unknown, as during an upgrade, so that it is
 * ignored; throws a FrameError when a field is missing or has the wrong type.
 */
export function checkLinkMessage(message: Readonly<Record<string, unknown>>): boolean {
  const {kind} = message;
  if (typeof kind !== 'string' || !Object.hasOwn(fieldChecksByKind, kind)) return false;
  const badField = findBadField(message, fieldChecksByKind[kind] as FieldChecks);
  if (badField !== undefined) throw new FrameError('bad-field', `${kind}.${badField}`);
  return true;
}

function isWorker(value: unknown): boolean {
  if (!isRecord(value) || !isRecord(value.capacity)) return false;
  const {life, id, service, dataCentre, rack, labels, capacity, state, remainingMs, coldMs} = value;
  const {processors, memoryMb, accelerators} = capacity;
  return (
    isTexts([life, id, service, dataCentre, rack]) &&
    isTexts(labels) &&
    (state === 'ready' || state === 'draining') &&
    isOptionalNumber(remainingMs) &&
    isOptionalNumber(coldMs) &&
    [processors, memoryMb, accelerators].every(isAmount)
  );
}

function isOptionalFormerWorker(value: unknown): boolean {
  if (value === undefined) return true;
  return isRecord(value) && typeof value.life === 'string' && isOptionalNumber(value.silentMs);
}

function isAmount(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isOutcome(value: unknown): boolean {
  if (!isRecord(value)) return false;
  if (value.kind === 'refused') return typeof value.reason === 'string';
  if (value.kind === 'stopped') return typeof value.listed === 'boolean';
  return value.kind === 'accepted' || value.kind === 'unknown';
}

/** The content of a submission is checked where it is stored; here only what every call has. */
function isCall(value: unknown): boolean {
  if (!isRecord(value) || typeof value.queue !== 'string') return false;
  if (value.kind === 'count') return true;
  if (typeof value.id !== 'string') return false;
  if (value.kind === 'submit') return isRecord(value.draft) && Array.isArray(value.draft.steps);
  return value.kind === 'query' || value.kind === 'cancel';
}

function isReply(value: unknown): boolean {
  return isRecord(value) && typeof value.kind === 'string';
}

function isRunRow(row: readonly unknown[]): boolean {
  const [task, run, checkpoint, percent, measurement] = row;
  return isTexts([task, checkpoint]) && [run, percent, measurement].every(Number.isFinite);
}

function isEndRow(row: readonly unknown[]): boolean {
  const [end, task, run, how, checkpoint] = row;
  return isTexts([task, checkpoint]) && [end, run].every(Number.isFinite) && runOutcomes.has(how);
}

/** Whether a row has a name, followed by numbers only. */
function isNamedRow([name, ...numbers]: readonly unknown[], length: number): boolean {
  return (
    typeof name === 'string' && numbers.length === length - 1 && numbers.every(Number.isFinite)
  );
}

/** Whether there are rows of groups and of queues, each a name followed by any number of numbers. */
function isOptionalCost(value: unknown): boolean {
  if (value === undefined) return true;
  const isRow = (row: readonly unknown[]) => isNamedRow(row, Math.max(1, row.length));
  return isRecord(value) && isRows(value.groups, isRow) && isRows(value.queues, isRow);
}

function isNumbers(row: readonly unknown[]): boolean {
  return row.every(Number.isFinite);
}

function isRows(rows: unknown, check: (row: readonly unknown[]) => boolean): boolean {
  return Array.isArray(rows) && rows.every(row => Array.isArray(row) && check(row));
}

function isTexts(value: unknown): boolean {
  return Array.isArray(value) && value.every(text => typeof text === 'string');
}

function isEvacuationSet(value: unknown): boolean {
  return isRecord(value) && isRevision(value.revision) && isTexts(value.dataCentres);
}

/** A revision out of range would make all later sets look older. */
function isRevision(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isOptionalNumber(value: unknown): boolean {
  return value === undefined || Number.isFinite(value);
}

function isOptionalText(value: unknown): boolean {
  return value === undefined || typeof value === 'string';
}

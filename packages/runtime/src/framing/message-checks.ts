import type {ControlMessage, DataMessage, Hello} from '@chervilbeam/coordination';
import {FrameError} from './frame-error.js';

/** Every message between the processes of a deployment, except the hello. */
export type PeerMessage = ControlMessage | DataMessage;

/** Type of a field, or a function that checks it. */
export type FieldCheck = FieldType | ((value: unknown) => boolean);

/** Checks of the required fields of one message kind. */
export type FieldChecks = Readonly<Record<string, FieldCheck>>;

type FieldType = 'number' | 'string' | 'boolean' | 'array' | 'object' | 'id';

/** Required fields and their types for each message kind. Other fields are optional or ignored. */
const requiredFieldsByKind: Readonly<Record<string, Readonly<Record<string, FieldType>>>> = {
  hello: {
    protocol: 'number',
    deployment: 'string',
    role: 'string',
    dataCentre: 'string',
    region: 'string',
    name: 'string',
    incarnation: 'number',
    purpose: 'string',
    peers: 'array',
    configVersion: 'number',
  },
  rejected: {id: 'id', attempt: 'number', reason: 'string', holdMs: 'number', credit: 'number'},
  failed: {id: 'id', attempt: 'number', detail: 'string', credit: 'number'},
  cancel: {id: 'id', attempt: 'number'},
  recover: {id: 'id', attempt: 'number'},
  recovered: {id: 'id', attempt: 'number', state: 'string'},
  announce: {
    host: 'string',
    rack: 'string',
    capacity: 'object',
    services: 'array',
    slots: 'number',
    connections: 'number',
    draining: 'boolean',
  },
  heartbeat: {stamp: 'number', configVersion: 'number', inFlight: 'number'},
  report: {full: 'boolean', attempts: 'array'},
  grant: {cell: 'string', term: 'number', stamp: 'number', leaseMs: 'number'},
  start: {
    cell: 'string',
    term: 'number',
    stamp: 'number',
    leaseMs: 'number',
    task: 'string',
    attempt: 'number',
    workload: 'string',
    resources: 'object',
  },
  stop: {
    cell: 'string',
    term: 'number',
    task: 'string',
    attempt: 'number',
    checkpoint: 'boolean',
    reason: 'string',
  },
  throttle: {
    cell: 'string',
    term: 'number',
    task: 'string',
    attempt: 'number',
    fraction: 'number',
  },
  acknowledge: {term: 'number', attempts: 'array'},
  config: {from: 'number', changes: 'array'},
  'config-request': {after: 'number'},
  summary: {dataCentre: 'string', services: 'array'},
  vouch: {cell: 'string', term: 'number', sequence: 'number'},
  vouched: {
    cell: 'string',
    term: 'number',
    sequence: 'number',
    granted: 'boolean',
    validMs: 'number',
  },
  fence: {cell: 'string', term: 'number'},
  fenced: {cell: 'string', term: 'number', entry: 'string', remainingMs: 'number'},
};

/** Returns the value as a message; throws FrameError when its kind is unknown or a field has the wrong type. */
export function checkMessage(value: unknown): PeerMessage | Hello {
  if (typeof value !== 'object' || value === null) throw new FrameError('not-a-record');
  const record = value as Record<string, unknown>;
  const fieldTypes =
    typeof record.kind === 'string' ? requiredFieldsByKind[record.kind] : undefined;
  if (fieldTypes === undefined) throw new FrameError('unknown-kind', String(record.kind));
  const badField = findBadField(record, fieldTypes);
  if (badField !== undefined) {
    throw new FrameError('bad-field', `${String(record.kind)}.${badField}`);
  }
  return value as PeerMessage | Hello;
}

/** Returns the name of the first field that is missing or has the wrong type; undefined when all are right. */
export function findBadField(
  record: Readonly<Record<string, unknown>>,
  checks: FieldChecks,
): string | undefined {
  return Object.keys(checks).find(field => {
    const check = checks[field] as FieldCheck;
    const value = record[field];
    return !(typeof check === 'function' ? check(value) : hasFieldType(value, check));
  });
}

function hasFieldType(value: unknown, fieldType: FieldType): boolean {
  switch (fieldType) {
    case 'array':
      return Array.isArray(value);
    case 'object':
      return typeof value === 'object' && value !== null;
    case 'number':
      return typeof value === 'number' && !Number.isNaN(value);
    case 'id': {
      const id = value as {origin?: unknown; sequence?: unknown} | undefined | null;
      return typeof id?.origin === 'number' && typeof id.sequence === 'number';
    }
    default:
      return typeof value === fieldType;
  }
}

import type {ControlMessage, DataMessage, Hello} from '@chervilbeam/coordination';
import {FrameError} from './frame-error.js';

/** Every message between the processes of a deployment, except the hello. */
export type PeerMessage = ControlMessage | DataMessage;

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
  for (const field in fieldTypes) {
    if (!hasFieldType(record[field], fieldTypes[field] as FieldType)) {
      throw new FrameError('bad-field', `${String(record.kind)}.${field}`);
    }
  }
  return value as PeerMessage | Hello;
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

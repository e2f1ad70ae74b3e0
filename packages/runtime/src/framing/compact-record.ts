import {
  type DataMessage,
  type Dispatch,
  type Forward,
  type Headers,
  urgencies,
  type WorkloadKind,
} from '@chervilbeam/coordination';
import {FrameError} from './frame-error.js';

/** Integer field keys of compact records. A number is never reused for another field. */
const key = {
  kind: 1,
  origin: 2,
  sequence: 3,
  attempt: 4,
  service: 5,
  team: 6,
  classCode: 7,
  remainingMs: 8,
  method: 9,
  path: 10,
  headers: 11,
  bodyLength: 12,
  inline: 13,
  status: 14,
  credit: 15,
  offset: 16,
} as const;

/** Message kinds with a compact form. The index is the code on the wire. */
const compactKinds = ['dispatch', 'forward', 'reply', 'chunk'] as const;
/** Methods that are encoded as their index; others are sent as text. */
const methods = ['GET', 'POST', 'PUT', 'DELETE', 'HEAD', 'OPTIONS', 'PATCH'];
/** Workload kinds by their code in the class code. */
const workloadKinds: readonly WorkloadKind[] = ['service', 'batch', 'watch'];

/** A message with integer field keys, together with the first part of its body. */
export type CompactRecord = Map<number, unknown>;

/** A decoded compact record. */
export interface CompactMessage {
  readonly message: DataMessage;
  readonly inline?: Uint8Array;
}

/** Returns the compact record of a message, or undefined when its kind has no compact form. */
export function encodeCompactRecord(
  message: DataMessage,
  ownIncarnation: number,
  inline?: Uint8Array,
): CompactRecord | undefined {
  const kindCode = compactKinds.indexOf(message.kind as (typeof compactKinds)[number]);
  if (kindCode < 0) return undefined;
  const record: CompactRecord = new Map<number, unknown>([[key.kind, kindCode]]);
  // The receiver knows the sender's incarnation from the hello, so ids of the sender omit it.
  if (message.id.origin !== ownIncarnation) record.set(key.origin, message.id.origin);
  record.set(key.sequence, message.id.sequence);
  if (message.attempt !== 1) record.set(key.attempt, message.attempt);
  switch (message.kind) {
    case 'dispatch':
    case 'forward':
      writeDispatch(record, message);
      break;
    case 'reply':
      if (message.status !== 200) record.set(key.status, message.status);
      if (message.headers.length > 0) record.set(key.headers, message.headers.flat());
      if (message.credit !== 0) record.set(key.credit, message.credit);
      if (message.bodyLength > 0) record.set(key.bodyLength, message.bodyLength);
      break;
    case 'chunk':
      record.set(key.offset, message.offset);
      record.set(key.inline, message.bytes);
      break;
  }
  if (inline !== undefined && inline.length > 0) record.set(key.inline, inline);
  return record;
}

function writeDispatch(record: CompactRecord, message: Dispatch | Forward): void {
  record.set(key.service, message.service);
  record.set(key.team, message.class.team);
  // Class code: workload kind in bits 3 and up, urgency in bits 1 and 2, idempotence in bit 0.
  const kindCode = workloadKinds.indexOf(message.class.kind);
  const urgencyCode = urgencies.indexOf(message.class.urgency);
  record.set(key.classCode, kindCode * 8 + urgencyCode * 2 + (message.idempotent ? 1 : 0));
  record.set(key.remainingMs, Math.max(0, Math.floor(message.remainingMs)));
  const methodCode = methods.indexOf(message.method);
  if (methodCode !== 0) record.set(key.method, methodCode < 0 ? message.method : methodCode);
  record.set(key.path, message.path);
  if (message.headers.length > 0) record.set(key.headers, message.headers.flat());
  if (message.bodyLength > 0) record.set(key.bodyLength, message.bodyLength);
}

/** Returns the message of a decoded compact record; throws FrameError when a field is wrong. */
export function decodeCompactRecord(
  fields: Readonly<Record<number, unknown>>,
  peerIncarnation: number,
): CompactMessage {
  const kind = compactKinds[Number(fields[key.kind])];
  if (kind === undefined) throw new FrameError('unknown-kind', String(fields[key.kind]));
  const origin = readNonNegativeInteger(fields, key.origin, peerIncarnation);
  const id = {origin, sequence: readNonNegativeInteger(fields, key.sequence)};
  const attempt = readNonNegativeInteger(fields, key.attempt, 1);
  if (kind === 'chunk') {
    const bytes = readBytes(fields[key.inline]);
    if (bytes === undefined) throw new FrameError('bad-field', 'chunk without bytes');
    return {
      message: {kind, id, attempt, offset: readNonNegativeInteger(fields, key.offset), bytes},
    };
  }
  const headers = readHeaders(fields[key.headers]);
  const bodyLength = readNonNegativeInteger(fields, key.bodyLength, 0);
  const inline = readBytes(fields[key.inline]);
  if (kind === 'reply') {
    const status = readNonNegativeInteger(fields, key.status, 200);
    const credit = readFiniteNumber(fields, key.credit);
    return {message: {kind, id, attempt, status, headers, bodyLength, credit}, inline};
  }
  const classCode = readNonNegativeInteger(fields, key.classCode);
  const workloadKind = workloadKinds[classCode >> 3];
  const urgency = urgencies[(classCode >> 1) & 3];
  if (workloadKind === undefined || urgency === undefined) {
    throw new FrameError('bad-field', `class ${classCode}`);
  }
  const method = fields[key.method] ?? 0;
  const message = {
    kind,
    id,
    attempt,
    service: readString(fields, key.service),
    class: {team: readString(fields, key.team), kind: workloadKind, urgency},
    idempotent: (classCode & 1) === 1,
    remainingMs: readNonNegativeInteger(fields, key.remainingMs),
    method: typeof method === 'number' ? (methods[method] ?? '') : readString(fields, key.method),
    path: readString(fields, key.path),
    headers,
    bodyLength,
  };
  if (message.method === '') throw new FrameError('bad-field', 'method');
  return {message, inline};
}

function readNonNegativeInteger(
  fields: Readonly<Record<number, unknown>>,
  fieldKey: number,
  fallback?: number,
): number {
  const value = fields[fieldKey] ?? fallback;
  if (typeof value === 'number' && value >= 0 && Number.isSafeInteger(value)) return value;
  throw new FrameError('bad-field', `key ${fieldKey}`);
}

function readFiniteNumber(fields: Readonly<Record<number, unknown>>, fieldKey: number): number {
  const value = fields[fieldKey] ?? 0;
  if (typeof value === 'number' && Number.isFinite(value)) return value;
  throw new FrameError('bad-field', `key ${fieldKey}`);
}

function readString(fields: Readonly<Record<number, unknown>>, fieldKey: number): string {
  const value = fields[fieldKey];
  if (typeof value === 'string') return value;
  throw new FrameError('bad-field', `key ${fieldKey}`);
}

function readBytes(value: unknown): Uint8Array | undefined {
  if (value === undefined || value instanceof Uint8Array) return value;
  throw new FrameError('bad-field', 'bytes');
}

function readHeaders(value: unknown): Headers {
  if (value === undefined) return [];
  if (!Array.isArray(value) || value.length % 2 !== 0) throw new FrameError('bad-field', 'headers');
  const headers: Array<readonly [string, string]> = [];
  for (let i = 0; i < value.length; i += 2) {
    const name: unknown = value[i];
    const headerValue: unknown = value[i + 1];
    if (typeof name !== 'string' || typeof headerValue !== 'string') {
      throw new FrameError('bad-field', 'headers');
    }
    headers.push([name, headerValue]);
  }
  return headers;
}

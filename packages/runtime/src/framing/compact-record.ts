import {
  type DataMessage,
  type Dispatch,
  type Forward,
  type Headers,
  urgencies,
  type WorkloadKind,
} from '@chervilbeam/coordination';
import {FrameError} from './frame-error.js';

/** Integer field keys of the frequent records. Numbers are never reused for another meaning. */
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

const compactKinds = ['dispatch', 'forward', 'reply', 'chunk'] as const;
const methods = ['GET', 'POST', 'PUT', 'DELETE', 'HEAD', 'OPTIONS', 'PATCH'];
const workloadKinds: readonly WorkloadKind[] = ['service', 'batch', 'watch'];

/** A frequent message with integer keys, and the first part of its body. */
export type CompactMap = Map<number, unknown>;

/** A decoded compact record. */
export interface CompactMessage {
  readonly message: DataMessage;
  readonly inline?: Uint8Array;
}

/** Returns the record of a frequent message, or undefined when the kind has no compact form. */
export function getCompactRecord(
  message: DataMessage,
  ownOrigin: number,
  inline?: Uint8Array,
): CompactMap | undefined {
  const code = compactKinds.indexOf(message.kind as (typeof compactKinds)[number]);
  if (code < 0) return undefined;
  const map: CompactMap = new Map<number, unknown>([[key.kind, code]]);
  // The receiver knows the sender's incarnation from the hello, so own ids leave it out.
  if (message.id.origin !== ownOrigin) map.set(key.origin, message.id.origin);
  map.set(key.sequence, message.id.sequence);
  if (message.attempt !== 1) map.set(key.attempt, message.attempt);
  switch (message.kind) {
    case 'dispatch':
    case 'forward':
      writeDispatch(map, message);
      break;
    case 'reply':
      if (message.status !== 200) map.set(key.status, message.status);
      if (message.headers.length > 0) map.set(key.headers, message.headers.flat());
      if (message.credit !== 0) map.set(key.credit, message.credit);
      if (message.bodyLength > 0) map.set(key.bodyLength, message.bodyLength);
      break;
    case 'chunk':
      map.set(key.offset, message.offset);
      map.set(key.inline, message.bytes);
      break;
  }
  if (inline !== undefined && inline.length > 0) map.set(key.inline, inline);
  return map;
}

function writeDispatch(map: CompactMap, message: Dispatch | Forward): void {
  map.set(key.service, message.service);
  map.set(key.team, message.class.team);
  const kindCode = workloadKinds.indexOf(message.class.kind);
  const urgencyCode = urgencies.indexOf(message.class.urgency);
  map.set(key.classCode, kindCode * 8 + urgencyCode * 2 + (message.idempotent ? 1 : 0));
  map.set(key.remainingMs, Math.max(0, Math.floor(message.remainingMs)));
  const methodCode = methods.indexOf(message.method);
  if (methodCode !== 0) map.set(key.method, methodCode < 0 ? message.method : methodCode);
  map.set(key.path, message.path);
  if (message.headers.length > 0) map.set(key.headers, message.headers.flat());
  if (message.bodyLength > 0) map.set(key.bodyLength, message.bodyLength);
}

/** Returns the message of a decoded compact record; throws FrameError when a field is wrong. */
export function readCompactRecord(
  fields: Readonly<Record<number, unknown>>,
  peerOrigin: number,
): CompactMessage {
  const kind = compactKinds[Number(fields[key.kind])];
  if (kind === undefined) throw new FrameError('unknown-kind', String(fields[key.kind]));
  const origin = readNumber(fields, key.origin, peerOrigin);
  const id = {origin, sequence: readNumber(fields, key.sequence)};
  const attempt = readNumber(fields, key.attempt, 1);
  if (kind === 'chunk') {
    const bytes = readBytes(fields[key.inline]);
    if (bytes === undefined) throw new FrameError('bad-field', 'chunk without bytes');
    return {message: {kind, id, attempt, offset: readNumber(fields, key.offset), bytes}};
  }
  const headers = readHeaders(fields[key.headers]);
  const bodyLength = readNumber(fields, key.bodyLength, 0);
  const inline = readBytes(fields[key.inline]);
  if (kind === 'reply') {
    const status = readNumber(fields, key.status, 200);
    const credit = readAmount(fields, key.credit);
    return {message: {kind, id, attempt, status, headers, bodyLength, credit}, inline};
  }
  const code = readNumber(fields, key.classCode);
  const workloadKind = workloadKinds[code >> 3];
  const urgency = urgencies[(code >> 1) & 3];
  if (workloadKind === undefined || urgency === undefined) {
    throw new FrameError('bad-field', `class ${code}`);
  }
  const method = fields[key.method] ?? 0;
  const message = {
    kind,
    id,
    attempt,
    service: readString(fields, key.service),
    class: {team: readString(fields, key.team), kind: workloadKind, urgency},
    idempotent: (code & 1) === 1,
    remainingMs: readNumber(fields, key.remainingMs),
    method: typeof method === 'number' ? (methods[method] ?? '') : readString(fields, key.method),
    path: readString(fields, key.path),
    headers,
    bodyLength,
  };
  if (message.method === '') throw new FrameError('bad-field', 'method');
  return {message, inline};
}

function readNumber(
  fields: Readonly<Record<number, unknown>>,
  field: number,
  fallback?: number,
): number {
  const value = fields[field] ?? fallback;
  if (typeof value === 'number' && value >= 0 && Number.isSafeInteger(value)) return value;
  throw new FrameError('bad-field', `key ${field}`);
}

function readAmount(fields: Readonly<Record<number, unknown>>, field: number): number {
  const value = fields[field] ?? 0;
  if (typeof value === 'number' && Number.isFinite(value)) return value;
  throw new FrameError('bad-field', `key ${field}`);
}

function readString(fields: Readonly<Record<number, unknown>>, field: number): string {
  const value = fields[field];
  if (typeof value === 'string') return value;
  throw new FrameError('bad-field', `key ${field}`);
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
    const content: unknown = value[i + 1];
    if (typeof name !== 'string' || typeof content !== 'string') {
      throw new FrameError('bad-field', 'headers');
    }
    headers.push([name, content]);
  }
  return headers;
}

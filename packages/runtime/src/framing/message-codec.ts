import type {DataMessage, Hello} from '@chervilbeam/coordination';
import {Encoder, type Options} from 'cbor-x';
import {getCompactRecord, readCompactRecord} from './compact-record.js';
import {FrameError} from './frame-error.js';
import {continuedFlag, maxFrameBytes, maxMessageBytes, prefixBytes} from './frame-limits.js';
import {checkMessage, type PeerMessage} from './message-checks.js';

/** A decoded frame; `inline` is the first part of the body when the message has one. */
export interface DecodedFrame {
  readonly message: PeerMessage | Hello;
  readonly inline?: Uint8Array;
}

/** A frame that only carries the sender's hybrid clock. */
export interface ClockFrame {
  readonly stamp: number;
}

/** The types of cbor-x leave out the option for tag 259. */
const options: Options & {readonly useTag259ForMaps: boolean} = {
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
  // Maps with integer keys are plain CBOR maps and are read as objects.
  useTag259ForMaps: false,
};
const encoder = new Encoder(options);

/** Encodes a message with its length prefix. */
export function encodeFrame(
  message: PeerMessage | Hello,
  ownOrigin: number,
  inline?: Uint8Array,
): Buffer {
  const record = getCompactRecord(message as DataMessage, ownOrigin, inline) ?? message;
  const payload = encoder.encode(record) as Buffer;
  if (payload.length > maxFrameBytes) return encodeContinued(payload, message.kind);
  const frame = Buffer.allocUnsafe(prefixBytes + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.set(payload, prefixBytes);
  return frame;
}

function encodeContinued(payload: Buffer, kind: string): Buffer {
  if (payload.length > maxMessageBytes) {
    throw new FrameError('message-length', `${kind} of ${payload.length} bytes`);
  }
  const frames: Buffer[] = [];
  for (let offset = 0; offset < payload.length; offset += maxFrameBytes) {
    const part = payload.subarray(offset, offset + maxFrameBytes);
    const prefix = Buffer.allocUnsafe(prefixBytes);
    const flag = offset + part.length < payload.length ? continuedFlag : 0;
    prefix.writeUInt32BE(flag + part.length, 0);
    frames.push(prefix, part);
  }
  return Buffer.concat(frames);
}

/** Integer key of a record that only carries the sender's hybrid clock. */
const clockKey = 17;

/** Encodes the stamp of the sender's hybrid clock; one precedes the messages of each write. */
export function encodeClock(stamp: number): Buffer {
  const payload = encoder.encode(new Map([[clockKey, stamp]])) as Buffer;
  const frame = Buffer.allocUnsafe(prefixBytes + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.set(payload, prefixBytes);
  return frame;
}

/** Decodes the payload of one frame; throws FrameError when it is no message of this protocol. */
export function decodeFrame(payload: Buffer, peerOrigin: number): DecodedFrame | ClockFrame {
  let value: unknown;
  try {
    value = encoder.decode(payload);
  } catch {
    throw new FrameError('not-cbor');
  }
  if (typeof value === 'object' && value !== null && 1 in value) {
    return readCompactRecord(value as Record<number, unknown>, peerOrigin);
  }
  if (typeof value === 'object' && value !== null && clockKey in value) {
    const stamp = (value as Record<number, unknown>)[clockKey];
    if (typeof stamp !== 'number') throw new FrameError('bad-field', 'clock');
    return {stamp};
  }
  return {message: checkMessage(value)};
}

import type {DataMessage, Hello} from '@chervilbeam/coordination';
import {Encoder, type Options} from 'cbor-x';
import {encodeCompactRecord, decodeCompactRecord} from './compact-record.js';
import {FrameError} from './frame-error.js';
import {continuationFlag, maxFrameBytes, maxMessageBytes, prefixBytes} from './frame-limits.js';
import {checkMessage, type PeerMessage} from './message-checks.js';

/** A decoded message; `inline` is the first part of its body, if it has one. */
export interface DecodedFrame {
  readonly message: PeerMessage | Hello;
  readonly inline?: Uint8Array;
}

/** A decoded frame that carries only a stamp of the sender's hybrid logical clock. */
export interface ClockFrame {
  readonly stamp: number;
}

/** Adds `useTag259ForMaps`, which the type declarations of cbor-x omit. */
const encoderOptions: Options & {readonly useTag259ForMaps: boolean} = {
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
  // Maps with integer keys are encoded as plain CBOR maps and decoded as objects.
  useTag259ForMaps: false,
};
const encoder = new Encoder(encoderOptions);

/** Encodes a message as one or more frames; throws FrameError when it exceeds `maxMessageBytes`. */
export function encodeFrame(
  message: PeerMessage | Hello,
  ownIncarnation: number,
  inline?: Uint8Array,
): Buffer {
  const record = encodeCompactRecord(message as DataMessage, ownIncarnation, inline) ?? message;
  const payload = encoder.encode(record) as Buffer;
  if (payload.length > maxFrameBytes) return encodeContinuedFrames(payload, message.kind);
  const frame = Buffer.allocUnsafe(prefixBytes + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.set(payload, prefixBytes);
  return frame;
}

function encodeContinuedFrames(payload: Buffer, kind: string): Buffer {
  if (payload.length > maxMessageBytes) {
    throw new FrameError('message-length', `${kind} of ${payload.length} bytes`);
  }
  const frames: Buffer[] = [];
  for (let offset = 0; offset < payload.length; offset += maxFrameBytes) {
    const part = payload.subarray(offset, offset + maxFrameBytes);
    const prefix = Buffer.allocUnsafe(prefixBytes);
    const flag = offset + part.length < payload.length ? continuationFlag : 0;
    prefix.writeUInt32BE(flag + part.length, 0);
    frames.push(prefix, part);
  }
  return Buffer.concat(frames);
}

/** Field key of the stamp in a clock frame; distinct from the field keys of compact records. */
const clockFieldKey = 17;

/** Encodes a clock frame; one precedes the messages of each write. */
export function encodeClock(stamp: number): Buffer {
  const payload = encoder.encode(new Map([[clockFieldKey, stamp]])) as Buffer;
  const frame = Buffer.allocUnsafe(prefixBytes + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.set(payload, prefixBytes);
  return frame;
}

/** Decodes the payload of one message or clock frame; throws FrameError when it is not valid. */
export function decodeFrame(payload: Buffer, peerIncarnation: number): DecodedFrame | ClockFrame {
  let value: unknown;
  try {
    value = encoder.decode(payload);
  } catch {
    throw new FrameError('not-cbor');
  }
  if (typeof value === 'object' && value !== null && 1 in value) {
    return decodeCompactRecord(value as Record<number, unknown>, peerIncarnation);
  }
  if (typeof value === 'object' && value !== null && clockFieldKey in value) {
    const stamp = (value as Record<number, unknown>)[clockFieldKey];
    if (typeof stamp !== 'number') throw new FrameError('bad-field', 'clock');
    return {stamp};
  }
  return {message: checkMessage(value)};
}

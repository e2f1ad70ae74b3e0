import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {ControlMessage, DataMessage, Hello} from '@chervilbeam/coordination';
import {decodeFrame, encodeFrame} from '@chervilbeam/runtime';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;
const lengthPrefixBytes = 4;
const ownIncarnation = 1;

/** Any message between the processes of a deployment. */
export type AnyMessage = DataMessage | ControlMessage | Hello;

/** Returns the elapsed time of a synchronous action in milliseconds, which approximates its processor time. */
export function measureMs(action: () => void): number {
  const startedAt = performance.now();
  action();
  return performance.now() - startedAt;
}

/** Returns a value and the bytes of heap that it retains, as the mean over `copies` of it. */
export function measureHeapBytes<Value>(
  create: () => Value,
  copies = 1,
): {value: Value; bytes: number} {
  // The first value also creates code and shared tables, which must not be counted.
  create();
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const values = Array.from({length: copies}, create);
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  return {value: values[0]!, bytes: Math.max(0, after - before) / copies};
}

/** Returns the size of a message on the wire in bytes, including its length prefix and body. */
export function getFrameBytes(message: AnyMessage, body?: Uint8Array): number {
  return encodeFrame(message as Parameters<typeof encodeFrame>[0], ownIncarnation, body).length;
}

/** Encodes and decodes a message as a connection does, and returns its size on the wire in bytes. */
export function passThroughCodec(message: AnyMessage, body?: Uint8Array): number {
  const frame = encodeFrame(message as Parameters<typeof encodeFrame>[0], ownIncarnation, body);
  decodeFrame(frame.subarray(lengthPrefixBytes), ownIncarnation);
  return frame.length;
}

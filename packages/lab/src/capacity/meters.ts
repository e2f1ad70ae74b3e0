import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {ControlMessage, DataMessage, Hello} from '@chervilbeam/coordination';
import {decodeFrame, encodeFrame} from '@chervilbeam/runtime';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;
const lengthPrefixBytes = 4;
const ownOrigin = 1;

/** Any message between the system's own processes. */
export type AnyMessage = DataMessage | ControlMessage | Hello;

/** Returns the milliseconds of processor time that an action takes on this thread. */
export function measureMs(action: () => void): number {
  const startedAt = performance.now();
  action();
  return performance.now() - startedAt;
}

/** Returns the bytes of heap that one value keeps alive, as the mean over several copies. */
export function measureHeapBytes<Value>(
  create: () => Value,
  copies = 1,
): {value: Value; bytes: number} {
  // Code and shared tables that come into being with the first value do not count.
  create();
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const values = Array.from({length: copies}, create);
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  return {value: values[0]!, bytes: Math.max(0, after - before) / copies};
}

/** Returns the bytes of a message on the wire, with its length prefix and body. */
export function getFrameBytes(message: AnyMessage, body?: Uint8Array): number {
  return encodeFrame(message as Parameters<typeof encodeFrame>[0], ownOrigin, body).length;
}

/** Carries a message through the codec as a connection does, and returns its size. */
export function passThroughCodec(message: AnyMessage, body?: Uint8Array): number {
  const frame = encodeFrame(message as Parameters<typeof encodeFrame>[0], ownOrigin, body);
  decodeFrame(frame.subarray(lengthPrefixBytes), ownOrigin);
  return frame.length;
}

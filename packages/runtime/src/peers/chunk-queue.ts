import type {DataMessage} from '@chervilbeam/coordination';
import {encodeFrame, getStreamKey, maxChunkBytes} from '../framing/index.js';

interface BodyStream {
  readonly message: DataMessage;
  readonly body: Uint8Array;
  offset: number;
}

/** Round-robin queue of the bodies that are being sent in chunks on one connection. */
export class ChunkQueue {
  private readonly streams = new Map<string, BodyStream>();

  /** Creates an empty queue. Encoded request ids omit their origin when it equals `ownIncarnation`. */
  constructor(private readonly ownIncarnation: number) {}

  /** Whether no chunk is waiting to be sent. */
  get isEmpty(): boolean {
    return this.streams.size === 0;
  }

  /** Adds a body whose first `offset` bytes were sent with the message itself. */
  add(message: DataMessage, body: Uint8Array, offset: number): void {
    this.streams.set(getStreamKey(message), {message, body, offset});
  }

  /** Discards the unsent rest of a body after its message was cancelled or failed. */
  remove(message: DataMessage): void {
    this.streams.delete(getStreamKey(message));
  }

  /** Removes and returns the next chunk frame; round-robin, so that a long body does not delay a short one. */
  takeFrame(): Buffer | undefined {
    for (const [streamKey, stream] of this.streams) {
      this.streams.delete(streamKey);
      const end = Math.min(stream.offset + maxChunkBytes, stream.body.length);
      const {id, attempt} = stream.message;
      const bytes = stream.body.subarray(stream.offset, end);
      const chunk = {kind: 'chunk', id, attempt, offset: stream.offset, bytes} as const;
      stream.offset = end;
      if (end < stream.body.length) this.streams.set(streamKey, stream);
      return encodeFrame(chunk, this.ownIncarnation);
    }
    return undefined;
  }
}

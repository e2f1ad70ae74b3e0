import type {DataMessage} from '@chervilbeam/coordination';
import {encodeFrame, getStreamKey, maxChunkBytes} from '../framing/index.js';

interface BodyStream {
  readonly message: DataMessage;
  readonly body: Uint8Array;
  offset: number;
}

/** Bodies that are being sent on one connection, one chunk of each in turn. */
export class ChunkQueue {
  private readonly streams = new Map<string, BodyStream>();

  /** Creates the queue of a connection of the process with the given incarnation. */
  constructor(private readonly ownOrigin: number) {}

  /** Whether no chunk waits. */
  get isEmpty(): boolean {
    return this.streams.size === 0;
  }

  /** Adds the rest of a body after `offset` bytes that were sent with the message itself. */
  add(message: DataMessage, body: Uint8Array, offset: number): void {
    this.streams.set(getStreamKey(message), {message, body, offset});
  }

  /** Drops the rest of a body that the sender has given up. */
  remove(message: DataMessage): void {
    this.streams.delete(getStreamKey(message));
  }

  /** Returns the next chunk frame; streams take turns, so a long body does not delay a short one. */
  takeFrame(): Buffer | undefined {
    for (const [streamKey, stream] of this.streams) {
      this.streams.delete(streamKey);
      const end = Math.min(stream.offset + maxChunkBytes, stream.body.length);
      const {id, attempt} = stream.message;
      const bytes = stream.body.subarray(stream.offset, end);
      const chunk = {kind: 'chunk', id, attempt, offset: stream.offset, bytes} as const;
      stream.offset = end;
      if (end < stream.body.length) this.streams.set(streamKey, stream);
      return encodeFrame(chunk, this.ownOrigin);
    }
    return undefined;
  }
}

import {type Chunk, type DataMessage, getRequestKey} from '@chervilbeam/coordination';
import {FrameError} from './frame-error.js';
import {maxAnswerBodyBytes, maxRequestBodyBytes, maxUnfinishedBytes} from './frame-limits.js';

interface Unfinished {
  readonly message: DataMessage;
  readonly body: Buffer;
  received: number;
}

/** Called with a message and its whole body. */
export type Deliver = (message: DataMessage, body: Uint8Array | undefined) => void;

/** Joins the chunks of each body on one connection. A message is delivered only with its whole body. */
export class BodyAssembler {
  private readonly unfinished = new Map<string, Unfinished>();
  private unfinishedBytes = 0;

  /** Creates an assembler that passes whole messages to `deliver`. */
  constructor(private readonly deliver: Deliver) {}

  /** Takes one decoded message; throws FrameError when it breaks the protocol. */
  push(message: DataMessage, inline?: Uint8Array): void {
    switch (message.kind) {
      case 'chunk':
        return this.append(message);
      case 'dispatch':
      case 'forward':
        return this.begin(message, message.bodyLength, maxRequestBodyBytes, inline);
      case 'reply':
        return this.begin(message, message.bodyLength, maxAnswerBodyBytes, inline);
      case 'cancel':
      case 'rejected':
      case 'failed':
        // The sender has given up the body that it had begun.
        this.forget(getStreamKey(message));
        return this.deliver(message, undefined);
      default:
        return this.deliver(message, undefined);
    }
  }

  private begin(message: DataMessage, length: number, limit: number, inline?: Uint8Array): void {
    if (length > limit) throw new FrameError('body-length', `${length} bytes`);
    const first = inline?.length ?? 0;
    if (first > length) throw new FrameError('body-length', `${first} of ${length} bytes`);
    // Copied, since a kept answer would otherwise hold the whole receive buffer.
    if (first === length) return this.deliver(message, inline && Buffer.from(inline));
    const streamKey = getStreamKey(message);
    if (this.unfinished.has(streamKey)) throw new FrameError('duplicate-stream', streamKey);
    if (this.unfinishedBytes + length > maxUnfinishedBytes) {
      throw new FrameError('unfinished-bytes');
    }
    const body = Buffer.allocUnsafe(length);
    if (inline !== undefined) body.set(inline, 0);
    this.unfinished.set(streamKey, {message, body, received: first});
    this.unfinishedBytes += length;
  }

  private append(chunk: Chunk): void {
    const streamKey = getStreamKey(chunk);
    const entry = this.unfinished.get(streamKey);
    // Chunks of a cancelled stream may still be under way.
    if (entry === undefined) return;
    const end = entry.received + chunk.bytes.length;
    if (chunk.offset !== entry.received || end > entry.body.length) {
      throw new FrameError('chunk-order', streamKey);
    }
    entry.body.set(chunk.bytes, entry.received);
    entry.received = end;
    if (end < entry.body.length) return;
    this.forget(streamKey);
    this.deliver(entry.message, entry.body);
  }

  private forget(streamKey: string): void {
    const entry = this.unfinished.get(streamKey);
    if (entry === undefined) return;
    this.unfinished.delete(streamKey);
    this.unfinishedBytes -= entry.body.length;
  }
}

/** Returns the key of a body stream on one connection: request and attempt. */
export function getStreamKey(message: DataMessage): string {
  return `${getRequestKey(message.id)}/${message.attempt}`;
}

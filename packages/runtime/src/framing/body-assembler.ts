import {type Chunk, type DataMessage, getRequestKey} from '@chervilbeam/coordination';
import {FrameError} from './frame-error.js';
import {maxAnswerBodyBytes, maxRequestBodyBytes, maxUnfinishedBodyBytes} from './frame-limits.js';

interface UnfinishedBody {
  readonly message: DataMessage;
  readonly body: Buffer;
  receivedBytes: number;
}

/** Receives a message and its whole body; the body is undefined when the message has none. */
export type MessageConsumer = (message: DataMessage, body: Uint8Array | undefined) => void;

/** Reassembles the bodies on one connection. A message is delivered only once its whole body has arrived. */
export class BodyAssembler {
  private readonly unfinishedBodies = new Map<string, UnfinishedBody>();
  private unfinishedBytes = 0;

  /** Creates an assembler that passes complete messages to `deliver`. */
  constructor(private readonly deliver: MessageConsumer) {}

  /**
   * Adds one decoded message; `inline` is the part of its body that arrived with it. Throws FrameError when a body
   * exceeds a limit or a chunk is out of order.
   */
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
        // The sender sends no further chunks of this stream.
        this.discard(getStreamKey(message));
        return this.deliver(message, undefined);
      default:
        return this.deliver(message, undefined);
    }
  }

  private begin(
    message: DataMessage,
    bodyBytes: number,
    maxBodyBytes: number,
    inline?: Uint8Array,
  ): void {
    if (bodyBytes > maxBodyBytes) throw new FrameError('body-length', `${bodyBytes} bytes`);
    const inlineBytes = inline?.length ?? 0;
    if (inlineBytes > bodyBytes)
      throw new FrameError('body-length', `${inlineBytes} of ${bodyBytes} bytes`);
    // Copied, because a body that is retained would otherwise keep the whole receive buffer in memory.
    if (inlineBytes === bodyBytes) return this.deliver(message, inline && Buffer.from(inline));
    const streamKey = getStreamKey(message);
    if (this.unfinishedBodies.has(streamKey)) throw new FrameError('duplicate-stream', streamKey);
    if (this.unfinishedBytes + bodyBytes > maxUnfinishedBodyBytes) {
      throw new FrameError('unfinished-bytes');
    }
    const body = Buffer.allocUnsafe(bodyBytes);
    if (inline !== undefined) body.set(inline, 0);
    this.unfinishedBodies.set(streamKey, {message, body, receivedBytes: inlineBytes});
    this.unfinishedBytes += bodyBytes;
  }

  private append(chunk: Chunk): void {
    const streamKey = getStreamKey(chunk);
    const entry = this.unfinishedBodies.get(streamKey);
    // Chunks of a cancelled stream may still be in flight.
    if (entry === undefined) return;
    const end = entry.receivedBytes + chunk.bytes.length;
    if (chunk.offset !== entry.receivedBytes || end > entry.body.length) {
      throw new FrameError('chunk-order', streamKey);
    }
    entry.body.set(chunk.bytes, entry.receivedBytes);
    entry.receivedBytes = end;
    if (end < entry.body.length) return;
    this.discard(streamKey);
    this.deliver(entry.message, entry.body);
  }

  private discard(streamKey: string): void {
    const entry = this.unfinishedBodies.get(streamKey);
    if (entry === undefined) return;
    this.unfinishedBodies.delete(streamKey);
    this.unfinishedBytes -= entry.body.length;
  }
}

/** Returns the key of a body stream, unique within one connection: request id and attempt. */
export function getStreamKey(message: DataMessage): string {
  return `${getRequestKey(message.id)}/${message.attempt}`;
}

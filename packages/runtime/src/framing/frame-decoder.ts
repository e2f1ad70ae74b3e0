import {ByteCollector} from '../buffers/byte-collector.js';
import {FrameError} from './frame-error.js';
import {continuationFlag, maxFrameBytes, maxMessageBytes, prefixBytes} from './frame-limits.js';

/**
 * Splits a byte stream into messages. Each frame has a 4-byte big-endian length prefix; its highest bit is set
 * when the message continues in the next frame.
 */
export class FrameDecoder {
  /** Bytes of a frame that has not arrived completely, and how many are needed to go on. */
  private readonly pending = new ByteCollector();
  private neededBytes = prefixBytes;
  /** Payloads of the frames of a message whose last frame has not arrived yet. */
  private parts: Buffer[] = [];
  private partBytes = 0;

  /** Creates a decoder that refuses frames with a payload above `maxPayloadBytes`. */
  constructor(private readonly maxPayloadBytes = maxFrameBytes) {}

  /** Memory in bytes that the frames of an incomplete message take. */
  get heldBytes(): number {
    return this.pending.heldBytes + this.partBytes;
  }

  /** Adds received bytes and delivers each complete message; throws FrameError on a bad length. */
  push(received: Buffer, deliver: (payload: Buffer) => void): void {
    let bytes = received;
    if (this.pending.length > 0) {
      this.pending.add(received);
      // A frame in many small parts is put together only once.
      if (this.pending.length < this.neededBytes) return;
      bytes = this.pending.take();
    }
    let offset = 0;
    this.neededBytes = prefixBytes;
    while (bytes.length - offset >= prefixBytes) {
      const prefix = bytes.readUInt32BE(offset);
      const isContinued = prefix >= continuationFlag;
      const length = isContinued ? prefix - continuationFlag : prefix;
      // Checked before the payload arrives, so that a peer cannot reserve memory before it has identified itself.
      if (length === 0 || length > this.maxPayloadBytes) {
        throw new FrameError('frame-length', `${length} bytes`);
      }
      const end = offset + prefixBytes + length;
      if (end > bytes.length) {
        this.neededBytes = prefixBytes + length;
        break;
      }
      this.addFrame(bytes.subarray(offset + prefixBytes, end), isContinued, deliver);
      offset = end;
    }
    if (offset < bytes.length) this.pending.add(bytes.subarray(offset));
  }

  /** Drops the bytes of an incomplete message. */
  clear(): void {
    this.pending.clear();
    this.parts = [];
    this.partBytes = 0;
  }

  private addFrame(frame: Buffer, isContinued: boolean, deliver: (payload: Buffer) => void): void {
    if (!isContinued && this.parts.length === 0) return deliver(frame);
    this.partBytes += frame.length;
    if (this.partBytes > maxMessageBytes) {
      throw new FrameError('message-length', `${this.partBytes} bytes`);
    }
    this.parts.push(frame);
    if (isContinued) return;
    const message = Buffer.concat(this.parts);
    this.parts = [];
    this.partBytes = 0;
    deliver(message);
  }
}

import {FrameError} from './frame-error.js';
import {continuedFlag, maxFrameBytes, maxMessageBytes, prefixBytes} from './frame-limits.js';

/**
 * Splits a byte stream into messages. Each frame has a 4-byte big-endian length prefix whose highest bit
 * says that the message continues in the next frame.
 */
export class FrameDecoder {
  private rest: Buffer | undefined;
  private parts: Buffer[] = [];
  private partBytes = 0;

  /** Creates a decoder that refuses frames above `maxBytes`. */
  constructor(private readonly maxBytes = maxFrameBytes) {}

  /** Takes received bytes and passes each whole message on; throws FrameError on a bad length. */
  push(received: Buffer, deliver: (payload: Buffer) => void): void {
    const bytes = this.rest === undefined ? received : Buffer.concat([this.rest, received]);
    this.rest = undefined;
    let offset = 0;
    while (bytes.length - offset >= prefixBytes) {
      const prefix = bytes.readUInt32BE(offset);
      const continued = prefix >= continuedFlag;
      const length = continued ? prefix - continuedFlag : prefix;
      // Checked before the payload arrives, so that a stranger's first bytes cannot reserve memory.
      if (length === 0 || length > this.maxBytes) {
        throw new FrameError('frame-length', `${length} bytes`);
      }
      const end = offset + prefixBytes + length;
      if (end > bytes.length) break;
      this.take(bytes.subarray(offset + prefixBytes, end), continued, deliver);
      offset = end;
    }
    if (offset < bytes.length) this.rest = bytes.subarray(offset);
  }

  private take(frame: Buffer, continued: boolean, deliver: (payload: Buffer) => void): void {
    if (!continued && this.parts.length === 0) return deliver(frame);
    this.partBytes += frame.length;
    if (this.partBytes > maxMessageBytes) {
      throw new FrameError('message-length', `${this.partBytes} bytes`);
    }
    this.parts.push(frame);
    if (continued) return;
    const whole = Buffer.concat(this.parts);
    this.parts = [];
    this.partBytes = 0;
    deliver(whole);
  }
}

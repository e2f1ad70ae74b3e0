import type {Socket} from 'node:net';
import type {DataMessage, Hello} from '@chervilbeam/coordination';
import {
  BodyAssembler,
  decodeFrame,
  encodeClock,
  encodeFrame,
  FrameDecoder,
  FrameError,
  maxChunkBytes,
  type PeerMessage,
} from '../framing/index.js';
import {ChunkQueue} from './chunk-queue.js';

/** Version of the protocol between the processes of a deployment; connections of other versions are refused. */
export const protocolVersion = 1;
/** Time after connecting within which the other side must send its hello. */
const helloTimeoutMs = 2000;

/** Hybrid logical clock of the process; each write to a socket carries a stamp of it. */
export interface StampClock {
  /** Advances the clock and returns the stamp for a write. */
  next(): number;
  /** Merges a stamp received from another process into the clock. */
  receive(stamp: number): void;
}

/** Callbacks of a `PeerConnection`. */
export interface PeerConnectionHandlers {
  /** The other side's hello was accepted. */
  helloAccepted(connection: PeerConnection, hello: Hello): void;
  /** A message arrived together with its whole body, if it has one. */
  message(connection: PeerConnection, message: PeerMessage, body?: Uint8Array): void;
  /** The connection closed. `refusal` is the reason if this side refused it. */
  closed(connection: PeerConnection, refusal?: string): void;
  /** A frame was ignored without closing the connection; the reason names a counter. */
  refused(reason: string): void;
}

/** One framed connection to another process of the system, during and after its handshake. */
export class PeerConnection {
  /** Hello of the other side; undefined until it has been accepted. */
  hello: Hello | undefined;
  private readonly decoder = new FrameDecoder();
  private readonly assembler: BodyAssembler;
  private readonly chunkQueue: ChunkQueue;
  private outgoingFrames: Buffer[] = [];
  private isFlushScheduled = false;
  private isBackpressured = false;
  private isHelloSent = false;
  private refusalReason: string | undefined;
  private readonly helloTimer: NodeJS.Timeout;

  /** Wraps an open socket. `getOwnHello` supplies this side's hello; the side that dialled sends its hello first. */
  constructor(
    private readonly socket: Socket,
    private readonly getOwnHello: () => Hello,
    private readonly handlers: PeerConnectionHandlers,
    private readonly ownIncarnation: number,
    private readonly isInitiator: boolean,
    private readonly clock?: StampClock,
  ) {
    this.chunkQueue = new ChunkQueue(ownIncarnation);
    this.assembler = new BodyAssembler((message, body) =>
      this.handlers.message(this, message, body),
    );
    this.helloTimer = setTimeout(() => this.refuse('hello-timeout'), helloTimeoutMs);
    socket.setNoDelay(true);
    socket.on('data', received => this.receive(received));
    socket.on('drain', () => {
      this.isBackpressured = false;
      this.scheduleFlush();
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearTimeout(this.helloTimer);
      this.handlers.closed(this, this.refusalReason);
    });
    if (isInitiator) this.write(this.getOwnHello());
  }

  /** Queues a message. The part of a body above `maxChunkBytes` follows in chunk messages. */
  send(message: PeerMessage, body?: Uint8Array): void {
    if (this.socket.destroyed) return;
    const inline = body?.subarray(0, maxChunkBytes);
    const data = message as DataMessage;
    if (data.kind === 'cancel' || data.kind === 'failed') this.chunkQueue.remove(data);
    this.write(message, inline);
    if (body !== undefined && body.length > maxChunkBytes) {
      this.chunkQueue.add(data, body, maxChunkBytes);
    }
  }

  /** Writes the queued frames and closes the connection; body chunks still queued are not sent. */
  end(): void {
    if (this.outgoingFrames.length > 0) this.socket.write(Buffer.concat(this.outgoingFrames));
    this.outgoingFrames = [];
    this.socket.end();
  }

  /** Closes the connection at once and discards queued frames. */
  destroy(): void {
    this.socket.destroy();
  }

  private write(message: PeerMessage | Hello, inline?: Uint8Array): void {
    this.outgoingFrames.push(encodeFrame(message, this.ownIncarnation, inline));
    this.scheduleFlush();
  }

  private scheduleFlush(): void {
    if (this.isFlushScheduled || this.isBackpressured) return;
    this.isFlushScheduled = true;
    // All frames of one event loop turn go out in one write, so that small messages share a system call.
    setImmediate(() => {
      this.isFlushScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.socket.destroyed || this.isBackpressured) return;
    const frames = this.outgoingFrames;
    this.outgoingFrames = [];
    const chunk = this.chunkQueue.takeFrame();
    if (chunk !== undefined) frames.push(chunk);
    if (frames.length === 0) return;
    // The hello must be the first frame of a connection, so no clock frame precedes it.
    if (this.clock && this.isHelloSent) frames.unshift(encodeClock(this.clock.next()));
    this.isHelloSent = true;
    const bytes = frames.length === 1 ? (frames[0] as Buffer) : Buffer.concat(frames);
    this.isBackpressured = !this.socket.write(bytes);
    if (!this.chunkQueue.isEmpty) this.scheduleFlush();
  }

  private receive(received: Buffer): void {
    try {
      this.decoder.push(received, payload => this.receiveFrame(payload));
    } catch (error) {
      if (!(error instanceof FrameError)) throw error;
      this.refuse(this.hello === undefined ? 'stranger' : error.reason);
    }
  }

  private receiveFrame(payload: Buffer): void {
    if (this.socket.destroyed) return;
    try {
      const frame = decodeFrame(payload, this.hello?.incarnation ?? 0);
      if ('stamp' in frame) return this.receiveStamp(frame.stamp);
      const {message, inline} = frame;
      if (message.kind === 'hello') return this.receiveHello(message);
      if (this.hello === undefined) throw new FrameError('no-hello');
      if ('id' in message) this.assembler.push(message, inline);
      else this.handlers.message(this, message);
    } catch (error) {
      const isTolerated = error instanceof FrameError && error.reason === 'unknown-kind';
      if (!isTolerated || this.hello === undefined) throw error;
      // A newer version of the sender may use message kinds that this process does not know.
      this.handlers.refused(error.reason);
    }
  }

  private receiveStamp(stamp: number): void {
    if (this.hello === undefined) throw new FrameError('no-hello');
    this.clock?.receive(stamp);
  }

  private receiveHello(hello: Hello): void {
    if (this.hello !== undefined) throw new FrameError('second-hello');
    const ownHello = this.getOwnHello();
    if (hello.protocol !== protocolVersion) return this.refuse('other-protocol');
    if (hello.deployment !== ownHello.deployment) return this.refuse('other-deployment');
    this.hello = hello;
    clearTimeout(this.helloTimer);
    // Sent before the handler is called, so that the hello precedes any message that the handler sends.
    if (!this.isInitiator) this.write({...ownHello, purpose: hello.purpose});
    this.handlers.helloAccepted(this, hello);
  }

  private refuse(reason: string): void {
    this.refusalReason = reason;
    this.socket.destroy();
  }
}

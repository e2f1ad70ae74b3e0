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

/** Version of the protocol between own processes. */
export const protocolVersion = 1;
/** Time in which the other side must send its hello. */
const helloTimeoutMs = 2000;

/** Hybrid clock of the process; its stamps travel with every write. */
export interface StampClock {
  /** Returns the stamp of a write. */
  next(): number;
  /** Takes in the stamp of another process. */
  receive(stamp: number): void;
}

/** What a connection tells its owner. */
export interface PeerConnectionHandlers {
  /** The other side's hello was accepted. */
  greeted(connection: PeerConnection, hello: Hello): void;
  /** A whole message arrived. */
  message(connection: PeerConnection, message: PeerMessage, body?: Uint8Array): void;
  /** The connection is gone. `refusal` names the reason when this side closed it for bad bytes. */
  closed(connection: PeerConnection, refusal?: string): void;
  /** A frame was refused without closing the connection. */
  refused(reason: string): void;
}

/** One framed connection to another process of the system, after or during its handshake. */
export class PeerConnection {
  /** Hello of the other side once it has been accepted. */
  hello: Hello | undefined;
  private readonly decoder = new FrameDecoder();
  private readonly assembler: BodyAssembler;
  private readonly chunks: ChunkQueue;
  private outgoing: Buffer[] = [];
  private flushing = false;
  private blocked = false;
  private helloSent = false;
  private refusal: string | undefined;
  private readonly helloTimer: NodeJS.Timeout;

  /** Wraps an open socket. `ownHello` supplies the hello that this side sends. */
  constructor(
    private readonly socket: Socket,
    private readonly ownHello: () => Hello,
    private readonly handlers: PeerConnectionHandlers,
    private readonly ownOrigin: number,
    private readonly dialled: boolean,
    private readonly clock?: StampClock,
  ) {
    this.chunks = new ChunkQueue(ownOrigin);
    this.assembler = new BodyAssembler((message, body) =>
      this.handlers.message(this, message, body),
    );
    this.helloTimer = setTimeout(() => this.refuse('hello-timeout'), helloTimeoutMs);
    socket.setNoDelay(true);
    socket.on('data', received => this.receive(received));
    socket.on('drain', () => {
      this.blocked = false;
      this.scheduleFlush();
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearTimeout(this.helloTimer);
      this.handlers.closed(this, this.refusal);
    });
    if (dialled) this.write(this.ownHello());
  }

  /** Sends a message, with the body in chunks when it is longer than one. */
  send(message: PeerMessage, body?: Uint8Array): void {
    if (this.socket.destroyed) return;
    const inline = body?.subarray(0, maxChunkBytes);
    const data = message as DataMessage;
    if (data.kind === 'cancel' || data.kind === 'failed') this.chunks.remove(data);
    this.write(message, inline);
    if (body !== undefined && body.length > maxChunkBytes) {
      this.chunks.add(data, body, maxChunkBytes);
    }
  }

  /** Sends what is queued and closes the connection. */
  end(): void {
    if (this.outgoing.length > 0) this.socket.write(Buffer.concat(this.outgoing));
    this.outgoing = [];
    this.socket.end();
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.socket.destroy();
  }

  private write(message: PeerMessage | Hello, inline?: Uint8Array): void {
    this.outgoing.push(encodeFrame(message, this.ownOrigin, inline));
    this.scheduleFlush();
  }

  private scheduleFlush(): void {
    if (this.flushing || this.blocked) return;
    this.flushing = true;
    // One write for all frames of a loop turn: small messages share a system call.
    setImmediate(() => {
      this.flushing = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.socket.destroyed || this.blocked) return;
    const frames = this.outgoing;
    this.outgoing = [];
    const chunk = this.chunks.takeFrame();
    if (chunk !== undefined) frames.push(chunk);
    if (frames.length === 0) return;
    // The hello stays the first frame of a connection.
    if (this.clock && this.helloSent) frames.unshift(encodeClock(this.clock.next()));
    this.helloSent = true;
    const bytes = frames.length === 1 ? (frames[0] as Buffer) : Buffer.concat(frames);
    this.blocked = !this.socket.write(bytes);
    if (!this.chunks.isEmpty) this.scheduleFlush();
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
      const tolerated = error instanceof FrameError && error.reason === 'unknown-kind';
      if (!tolerated || this.hello === undefined) throw error;
      // A newer sender may know kinds that this process does not.
      this.handlers.refused(error.reason);
    }
  }

  private receiveStamp(stamp: number): void {
    if (this.hello === undefined) throw new FrameError('no-hello');
    this.clock?.receive(stamp);
  }

  private receiveHello(hello: Hello): void {
    if (this.hello !== undefined) throw new FrameError('second-hello');
    const own = this.ownHello();
    if (hello.protocol !== protocolVersion) return this.refuse('other-protocol');
    if (hello.deployment !== own.deployment) return this.refuse('other-deployment');
    this.hello = hello;
    clearTimeout(this.helloTimer);
    // Answered before the owner is told, so that the hello is the first frame of this side.
    if (!this.dialled) this.write({...own, purpose: hello.purpose});
    this.handlers.greeted(this, hello);
  }

  private refuse(reason: string): void {
    this.refusal = reason;
    this.socket.destroy();
  }
}

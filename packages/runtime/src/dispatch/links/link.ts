import {connect, createServer, type Server, Socket} from 'node:net';
import {Encoder} from 'cbor-x';
import {parseProcessAddress} from '../../addresses/index.js';
import {FrameDecoder, FrameError, prefixBytes} from '../../framing/index.js';
import {checkLinkMessage} from './link-message-checks.js';
import type {TrafficMeter} from './traffic-meter.js';

/** Interval in milliseconds between keepalive probes on an idle connection. */
const probeIntervalMs = 1_000;
/** Time in milliseconds without received data after which a connection is closed; three probes are lost by then. */
const silenceTimeoutMs = 3_500;
/** Gap in milliseconds between probe timer ticks above which this process itself is assumed to have been paused. */
const stallThresholdMs = 2_000;
/** Timeout in milliseconds for opening a connection. */
const connectTimeoutMs = 1_500;
/** Unsent bytes above which a connection is closed, because the other side does not read. */
const maxUnsentBytes = 8 * 1024 * 1024;
/** Unsent bytes above which a request of the other side is not read. */
const maxUnreadBytes = 256 * 1024;
/** Largest frame in bytes; large enough for a submission with its steps. */
const maxFrameBytes = 1024 * 1024;

/** Kind of a keepalive message, which is not delivered. */
const probeKind = 'alive';

const encoder = new Encoder({useRecords: false, mapsAsObjects: true, tagUint8Array: false});

/** Callbacks of a `Link`. */
export interface LinkHandlers<Message> {
  /** Called for each message that arrives. */
  message(message: Message): void;
  /** Called once when the connection has closed. */
  closed(reason: string): void;
}

/**
 * A framed connection between two processes of the system; messages are encoded as CBOR. Unlike the `PeerConnection`
 * of peers/, it has no handshake and sends no bodies in chunks.
 */
export class Link<Incoming, Outgoing> {
  private readonly decoder = new FrameDecoder(maxFrameBytes);
  private frames: Buffer[] = [];
  private isFlushing = false;
  private reason = 'closed';
  private isClosed = false;
  private lastReceivedAt = performance.now();
  private lastSentAt = performance.now();
  private lastProbedAt = performance.now();
  private readonly probeTimer: NodeJS.Timeout;
  private hasOpened: boolean;

  constructor(
    private readonly socket: Socket,
    private readonly handlers: LinkHandlers<Incoming>,
    private readonly traffic?: TrafficMeter,
    private readonly onHeldBytes?: (bytes: number) => void,
  ) {
    socket.setNoDelay(true);
    this.hasOpened = !socket.connecting && !socket.destroyed;
    socket.once('connect', () => (this.hasOpened = true));
    this.probeTimer = setInterval(() => this.probe(), probeIntervalMs);
    socket.on('data', bytes => this.receive(bytes));
    socket.on('error', error => (this.reason = (error as NodeJS.ErrnoException).code ?? 'error'));
    socket.on('close', () => this.handleClose());
  }

  /** Whether the connection has opened; if not, nothing was sent. */
  get hasBeenOpen(): boolean {
    return this.hasOpened;
  }

  /** Why the connection has closed, for example the code of a socket error; undefined while it is open. */
  get closeReason(): string | undefined {
    return this.isClosed ? this.reason : undefined;
  }

  /** Sends a message; all messages of one event-loop turn share a single write. Ignored after the link has closed. */
  send(message: Outgoing): void {
    if (this.isClosed) return;
    const payload = encoder.encode(message) as Buffer;
    const prefix = Buffer.allocUnsafe(prefixBytes);
    prefix.writeUInt32BE(payload.length, 0);
    this.frames.push(prefix, payload);
    this.traffic?.record('sent', getKind(message), prefixBytes + payload.length);
    if (this.isFlushing) return;
    this.isFlushing = true;
    setImmediate(() => this.flush());
  }

  /** Whether the other side leaves so much unread that it must read before it is sent more. */
  get isBehind(): boolean {
    return this.socket.writableLength > maxUnreadBytes;
  }

  /** Stops to receive until the other side has read what was sent; for links whose other side reads without waiting. */
  pauseUntilRead(): void {
    if (this.isClosed || this.socket.isPaused()) return;
    this.socket.pause();
    this.socket.once('drain', () => this.socket.resume());
  }

  /** Closes the connection after queued messages have been sent. */
  end(): void {
    this.flush();
    this.socket.end();
  }

  /** Closes the connection at once; queued messages are lost. */
  destroy(reason: string): void {
    this.reason = reason;
    // The socket reports its end only after all that has arrived on other links was read.
    this.decoder.clear();
    this.socket.destroy();
  }

  /**
   * Sends a probe when nothing else was sent, and closes a connection on which nothing arrives. After a pause of this
   * process itself, the silence says nothing about the other side, so the timeout starts again.
   */
  private probe(): void {
    const now = performance.now();
    const hasStalled = now - this.lastProbedAt > stallThresholdMs;
    this.lastProbedAt = now;
    if (hasStalled) this.lastReceivedAt = now;
    else if (now - this.lastReceivedAt > silenceTimeoutMs) return this.destroy('silent');
    if (now - this.lastSentAt >= probeIntervalMs / 2) this.send({kind: probeKind} as Outgoing);
  }

  private flush(): void {
    this.isFlushing = false;
    if (this.isClosed || this.frames.length === 0) return;
    const bytes = Buffer.concat(this.frames);
    this.frames = [];
    this.lastSentAt = performance.now();
    this.socket.write(bytes);
    if (this.socket.writableLength > maxUnsentBytes) this.destroy('not-reading');
    this.reportHeldBytes();
  }

  private reportHeldBytes(): void {
    if (!this.isClosed) this.onHeldBytes?.(this.socket.writableLength + this.decoder.heldBytes);
  }

  private receive(bytes: Buffer): void {
    this.lastReceivedAt = performance.now();
    try {
      this.decoder.push(bytes, payload => this.deliver(payload));
      this.reportHeldBytes();
    } catch (error) {
      // An unexpected error of a handler ends this connection, not the process and its other connections.
      const isFrameError = error instanceof FrameError;
      this.traffic?.recordFailure(isFrameError ? error.message : String((error as Error).stack));
      this.destroy(isFrameError ? error.reason : 'handler-failed');
    }
  }

  private deliver(payload: Buffer): void {
    let message: unknown;
    try {
      message = encoder.decode(payload);
    } catch (error) {
      throw new FrameError('not-cbor', String(error));
    }
    if (typeof message !== 'object' || message === null || !('kind' in message)) {
      throw new FrameError('not-a-message');
    }
    const isKnown =
      message.kind === probeKind || checkLinkMessage(message as Record<string, unknown>);
    this.traffic?.record('received', getKind(message), prefixBytes + payload.length);
    if (this.isClosed || !isKnown || message.kind === probeKind) return;
    this.handlers.message(message as Incoming);
  }

  private handleClose(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.decoder.clear();
    clearInterval(this.probeTimer);
    this.handlers.closed(this.reason);
  }
}

function getKind(message: unknown): string {
  return String((message as {readonly kind?: unknown}).kind);
}

/** Function that opens a link to `ip:port`. */
export type LinkDialer<Incoming, Outgoing> = (
  address: string,
  handlers: LinkHandlers<Incoming>,
  traffic?: TrafficMeter,
) => Link<Incoming, Outgoing>;

/** Code of the error of a link to a text that is not an address. */
const invalidAddressCode = 'invalid-address';

/** Opens a link to `ip:port`; a failure to connect, also to an invalid address, is reported through `closed`. */
export function dialLink<Incoming, Outgoing>(
  address: string,
  handlers: LinkHandlers<Incoming>,
  traffic?: TrafficMeter,
): Link<Incoming, Outgoing> {
  const target = parseProcessAddress(address);
  if (target === undefined) {
    const socket = new Socket();
    socket.destroy(Object.assign(new Error(invalidAddressCode), {code: invalidAddressCode}));
    return new Link(socket, handlers, traffic);
  }
  const socket = connect(target.port, target.host);
  const timer = setTimeout(() => socket.destroy(new Error('connect-timeout')), connectTimeoutMs);
  socket.once('connect', () => clearTimeout(timer));
  socket.once('close', () => clearTimeout(timer));
  return new Link(socket, handlers, traffic);
}

/** Listens on `ip:port` and calls `accept` for each socket; rejects when it cannot listen. */
export async function listenForLinks(
  address: string,
  accept: (socket: Socket) => void,
): Promise<Server> {
  const separator = address.lastIndexOf(':');
  const server = createServer(accept);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(address.slice(separator + 1)), address.slice(0, separator), resolve);
  });
  return server;
}

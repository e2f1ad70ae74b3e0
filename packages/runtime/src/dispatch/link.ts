import {connect, createServer, type Server, type Socket} from 'node:net';
import {Encoder} from 'cbor-x';
import {FrameDecoder, FrameError, prefixBytes} from '../framing/index.js';

/** Time in milliseconds between two probes on an idle connection. */
const probeMs = 1_000;
/** Silence in milliseconds after which a connection is closed; three probes were lost by then. */
const silenceMs = 3_500;
/** Delay in milliseconds of the probe timer that shows that this process itself stood still. */
const frozenMs = 2_000;
/** Time in milliseconds in which a connection must open. */
const connectMs = 1_500;
/** Unsent bytes above which a connection is given up, because the other side does not read. */
const maxUnsentBytes = 8 * 1024 * 1024;
/** Largest frame; a submission with its steps fits. */
const maxFrameBytes = 1024 * 1024;

/** Kind of a message that only shows that the connection is alive. */
const probeKind = 'alive';

const encoder = new Encoder({useRecords: false, mapsAsObjects: true, tagUint8Array: false});

/** What a link tells its owner. */
export interface LinkHandlers<Message> {
  /** A message arrived. */
  message(message: Message): void;
  /** The connection has ended. */
  closed(reason: string): void;
}

/** A framed connection between two processes of the system; messages are CBOR records. */
export class Link<Incoming, Outgoing> {
  private readonly decoder = new FrameDecoder(maxFrameBytes);
  private frames: Buffer[] = [];
  private isFlushing = false;
  private reason = 'closed';
  private isClosed = false;
  private heardAt = performance.now();
  private sentAt = performance.now();
  private probedAt = performance.now();
  private readonly probeTimer: NodeJS.Timeout;
  private hasOpened: boolean;

  constructor(
    private readonly socket: Socket,
    private readonly handlers: LinkHandlers<Incoming>,
  ) {
    socket.setNoDelay(true);
    this.hasOpened = !socket.connecting;
    socket.once('connect', () => (this.hasOpened = true));
    this.probeTimer = setInterval(() => this.probe(), probeMs);
    socket.on('data', bytes => this.receive(bytes));
    socket.on('error', error => (this.reason = (error as NodeJS.ErrnoException).code ?? 'error'));
    socket.on('close', () => this.finish());
  }

  /** Whether the connection has been open; before that, nothing was sent. */
  get wasOpen(): boolean {
    return this.hasOpened;
  }

  /** Sends a message; all messages of a turn of the loop share one write. */
  send(message: Outgoing): void {
    if (this.isClosed) return;
    const payload = encoder.encode(message) as Buffer;
    const prefix = Buffer.allocUnsafe(prefixBytes);
    prefix.writeUInt32BE(payload.length, 0);
    this.frames.push(prefix, payload);
    if (this.isFlushing) return;
    this.isFlushing = true;
    setImmediate(() => this.flush());
  }

  /** Closes the connection after what is queued has been sent. */
  end(): void {
    this.flush();
    this.socket.end();
  }

  /** Closes the connection at once. */
  destroy(reason: string): void {
    this.reason = reason;
    this.socket.destroy();
  }

  /** Sends a probe when nothing else was sent, and closes a connection that has gone silent. */
  private probe(): void {
    const now = performance.now();
    const wasFrozen = now - this.probedAt > frozenMs;
    this.probedAt = now;
    if (wasFrozen) this.heardAt = now;
    else if (now - this.heardAt > silenceMs) return this.destroy('silent');
    if (now - this.sentAt >= probeMs / 2) this.send({kind: probeKind} as Outgoing);
  }

  private flush(): void {
    this.isFlushing = false;
    if (this.isClosed || this.frames.length === 0) return;
    const bytes = Buffer.concat(this.frames);
    this.frames = [];
    this.sentAt = performance.now();
    this.socket.write(bytes);
    if (this.socket.writableLength > maxUnsentBytes) this.destroy('not-reading');
  }

  private receive(bytes: Buffer): void {
    this.heardAt = performance.now();
    try {
      this.decoder.push(bytes, payload => this.deliver(payload));
    } catch (error) {
      if (!(error instanceof FrameError)) throw error;
      this.destroy(error.reason);
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
    if (this.isClosed || message.kind === probeKind) return;
    this.handlers.message(message as Incoming);
  }

  private finish(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearInterval(this.probeTimer);
    this.handlers.closed(this.reason);
  }
}

/** Opens links to `ip:port`. */
export type LinkDialer<Incoming, Outgoing> = (
  address: string,
  handlers: LinkHandlers<Incoming>,
) => Link<Incoming, Outgoing>;

/** Opens a link to `ip:port`. */
export function dialLink<Incoming, Outgoing>(
  address: string,
  handlers: LinkHandlers<Incoming>,
): Link<Incoming, Outgoing> {
  const separator = address.lastIndexOf(':');
  const socket = connect(Number(address.slice(separator + 1)), address.slice(0, separator));
  const timer = setTimeout(() => socket.destroy(new Error('connect-timeout')), connectMs);
  socket.once('connect', () => clearTimeout(timer));
  socket.once('close', () => clearTimeout(timer));
  return new Link(socket, handlers);
}

/** Listens on `ip:port` and passes each accepted socket on. */
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

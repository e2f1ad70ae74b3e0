import {connect} from 'node:net';
import type {Hello} from '@chervilbeam/coordination';
import {PeerConnection, type PeerConnectionHandlers, type StampClock} from './peer-connection.js';

const initialBackoffMs = 100;
const maxBackoffMs = 2000;

/** Keeps one connection to an address open and reconnects with exponential backoff and full jitter. */
export class PeerDialler {
  private connection: PeerConnection | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private backoffMs = initialBackoffMs;
  private stopped = false;

  /** Creates a dialler; `start` opens the connection. */
  constructor(
    private readonly address: string,
    private readonly getOwnHello: () => Hello,
    private readonly handlers: PeerConnectionHandlers,
    private readonly clock?: StampClock,
    private readonly random: () => number = Math.random,
  ) {}

  /** Opens the connection; failed and lost connections are retried until `stop`. */
  start(): void {
    const separator = this.address.lastIndexOf(':');
    const host = this.address.slice(0, separator);
    const port = Number(this.address.slice(separator + 1));
    const socket = connect({host, port});
    let isConnected = false;
    socket.once('connect', () => {
      isConnected = true;
      this.connection = new PeerConnection(
        socket,
        this.getOwnHello,
        {
          helloAccepted: (connection, hello) => {
            this.backoffMs = initialBackoffMs;
            this.handlers.helloAccepted(connection, hello);
          },
          message: (connection, message, body) => this.handlers.message(connection, message, body),
          refused: reason => this.handlers.refused(reason),
          closed: (connection, refusal) => {
            this.handlers.closed(connection, refusal);
            this.connection = undefined;
            this.scheduleRetry();
          },
        },
        this.getOwnHello().incarnation,
        true,
        this.clock,
      );
    });
    socket.once('error', () => {
      if (!isConnected) this.scheduleRetry();
    });
  }

  /** Writes the queued frames, closes the connection and stops reconnecting. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.retryTimer);
    this.connection?.end();
  }

  private scheduleRetry(): void {
    if (this.stopped) return;
    // Full jitter keeps processes that lost the same peer from reconnecting at the same instant.
    const delayMs = this.random() * this.backoffMs;
    this.backoffMs = Math.min(this.backoffMs * 2, maxBackoffMs);
    this.retryTimer = setTimeout(() => this.start(), delayMs);
  }
}

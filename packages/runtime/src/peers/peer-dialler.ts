import {connect} from 'node:net';
import type {Hello} from '@chervilbeam/coordination';
import {PeerConnection, type PeerConnectionHandlers, type StampClock} from './peer-connection.js';

const firstDelayMs = 100;
const maxDelayMs = 2000;

/** Keeps one connection of one purpose open to an address and reconnects with full jitter. */
export class PeerDialler {
  private connection: PeerConnection | undefined;
  private timer: NodeJS.Timeout | undefined;
  private delayMs = firstDelayMs;
  private stopped = false;

  /** Creates a dialler; `start` opens the connection. */
  constructor(
    private readonly address: string,
    private readonly ownHello: () => Hello,
    private readonly handlers: PeerConnectionHandlers,
    private readonly clock?: StampClock,
    private readonly random: () => number = Math.random,
  ) {}

  /** Opens the connection. */
  start(): void {
    const separator = this.address.lastIndexOf(':');
    const host = this.address.slice(0, separator);
    const port = Number(this.address.slice(separator + 1));
    const socket = connect({host, port});
    let opened = false;
    socket.once('connect', () => {
      opened = true;
      this.connection = new PeerConnection(
        socket,
        this.ownHello,
        {
          greeted: (connection, hello) => {
            this.delayMs = firstDelayMs;
            this.handlers.greeted(connection, hello);
          },
          message: (connection, message, body) => this.handlers.message(connection, message, body),
          refused: reason => this.handlers.refused(reason),
          closed: (connection, refusal) => {
            this.handlers.closed(connection, refusal);
            this.connection = undefined;
            this.retry();
          },
        },
        this.ownHello().incarnation,
        true,
        this.clock,
      );
    });
    socket.once('error', () => {
      if (!opened) this.retry();
    });
  }

  /** Sends what is queued, closes the connection and stops dialling. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    this.connection?.end();
  }

  private retry(): void {
    if (this.stopped) return;
    // Full jitter, so that processes that lost the same peer do not return at the same instant.
    const delayMs = this.random() * this.delayMs;
    this.delayMs = Math.min(this.delayMs * 2, maxDelayMs);
    this.timer = setTimeout(() => this.start(), delayMs);
  }
}

import type {Hello, Vouch, Vouched} from '../messages/index.js';
import type {RegisteredEntry} from './events.js';
import {vouchMs} from './vouching.js';

/**
 * Vouches are asked for while the newest is valid for less than the first value, at the second interval.
 * The interval is short because an entry refuses until it has noticed the outage itself.
 */
const reserveMs = 6_000;
const intervalMs = 300;

/** Requests whose answers are still accepted. */
const keptRequests = 64;

/** The asking side of vouches: an owner that cannot reach the store collects them. */
export class VouchCollector {
  private until = Number.NEGATIVE_INFINITY;
  private askedAt = Number.NEGATIVE_INFINITY;
  private sequence = 0;
  private readonly sentAt = new Map<number, number>();

  constructor(
    private readonly cell: string,
    private readonly dataCentre: string,
    private readonly safetyFraction: number,
  ) {}

  /** Time until which the newest vouch is valid. */
  get validUntil(): number {
    return this.until;
  }

  /** Forgets all vouches. */
  clear(): void {
    this.until = Number.NEGATIVE_INFINITY;
    this.sentAt.clear();
  }

  /** Whether it is time to ask. */
  isDue(at: number): boolean {
    return this.until - at < reserveMs && at - this.askedAt >= intervalMs;
  }

  /** Returns the request and the peers to ask: registered entries outside the own data centre. */
  ask(
    term: number,
    entries: readonly RegisteredEntry[],
    peers: ReadonlyMap<string, Hello>,
    at: number,
  ): {readonly message: Vouch; readonly to: readonly string[]} {
    this.askedAt = at;
    this.sequence += 1;
    this.sentAt.set(this.sequence, at);
    this.sentAt.delete(this.sequence - keptRequests);
    const registered = new Set(entries.map(entry => entry.incarnation));
    const to = [...peers]
      .filter(([, hello]) => hello.role === 'entry' && hello.dataCentre !== this.dataCentre)
      .filter(([, hello]) => registered.has(hello.incarnation))
      .map(([peer]) => peer);
    return {message: {kind: 'vouch', cell: this.cell, term, sequence: this.sequence}, to};
  }

  /** Accepts an answer; the vouch counts from the time of the request. */
  accept(message: Vouched): boolean {
    const sentAt = this.sentAt.get(message.sequence);
    if (sentAt === undefined || !message.granted) return false;
    const validMs = Math.min(message.validMs, vouchMs) * (1 - this.safetyFraction);
    this.until = Math.max(this.until, sentAt + validMs);
    return true;
  }
}

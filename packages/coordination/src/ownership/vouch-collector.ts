import type {Hello, Vouch, Vouched} from '../messages/index.js';
import type {RegisteredEntry} from './events.js';
import {vouchMs} from './vouch-issuer.js';

/**
 * Vouches are asked for while the newest is valid for less than the first value, at the second interval.
 * The interval is short because an entry refuses until it has noticed the outage itself.
 */
const minRemainingMs = 6_000;
const intervalMs = 300;

/** Requests whose answers are still accepted. */
const maxOutstandingRequests = 64;

/** The asking side of vouches: an owner that cannot reach the store collects them. */
export class VouchCollector {
  private newestValidUntil = Number.NEGATIVE_INFINITY;
  private requestedAt = Number.NEGATIVE_INFINITY;
  private sequence = 0;
  private readonly sentAt = new Map<number, number>();

  constructor(
    private readonly cell: string,
    private readonly dataCentre: string,
    private readonly safetyFraction: number,
  ) {}

  /** Time until which the newest vouch is valid. */
  get validUntil(): number {
    return this.newestValidUntil;
  }

  /** Forgets all vouches. */
  clear(): void {
    this.newestValidUntil = Number.NEGATIVE_INFINITY;
    this.sentAt.clear();
  }

  /** Whether it is time to ask. */
  isRequestDue(at: number): boolean {
    return this.newestValidUntil - at < minRemainingMs && at - this.requestedAt >= intervalMs;
  }

  /** Returns the request and the peers to ask: registered entries outside the own data centre. */
  createRequest(
    term: number,
    entries: readonly RegisteredEntry[],
    peers: ReadonlyMap<string, Hello>,
    at: number,
  ): {readonly message: Vouch; readonly to: readonly string[]} {
    this.requestedAt = at;
    this.sequence += 1;
    this.sentAt.set(this.sequence, at);
    this.sentAt.delete(this.sequence - maxOutstandingRequests);
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
    this.newestValidUntil = Math.max(this.newestValidUntil, sentAt + validMs);
    return true;
  }
}

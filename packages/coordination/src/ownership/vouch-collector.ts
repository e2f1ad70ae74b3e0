import type {Hello, Vouch, Vouched} from '../messages/index.js';
import type {RegisteredEntry} from './events.js';
import {vouchMs} from './vouch-issuer.js';

/** Remaining validity of the newest vouch below which new vouches are requested. */
const minRemainingMs = 6_000;

/** Time between two requests. It is short because an entry refuses until it has noticed the store outage itself. */
const intervalMs = 300;

/** Number of latest requests whose answers are still accepted. */
const maxOutstandingRequests = 64;

/**
 * Requests vouches from other entries for an owner that cannot reach the store, and tracks until when they are
 * valid.
 */
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

  /** Monotonic time in milliseconds until which the newest vouch is valid; negative infinity without one. */
  get validUntil(): number {
    return this.newestValidUntil;
  }

  /** Discards all vouches and ignores answers to earlier requests. */
  clear(): void {
    this.newestValidUntil = Number.NEGATIVE_INFINITY;
    this.sentAt.clear();
  }

  /** Whether a new request should be sent now. */
  isRequestDue(at: number): boolean {
    return this.newestValidUntil - at < minRemainingMs && at - this.requestedAt >= intervalMs;
  }

  /** Returns a new request and its recipients: the registered entries outside this owner's data centre. */
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

  /**
   * Applies an answer and returns whether it granted a vouch. The validity counts from the time of the request,
   * shortened by the safety fraction, so that this owner never relies on a vouch longer than its issuer does.
   */
  accept(message: Vouched): boolean {
    const sentAt = this.sentAt.get(message.sequence);
    if (sentAt === undefined || !message.granted) return false;
    const validMs = Math.min(message.validMs, vouchMs) * (1 - this.safetyFraction);
    this.newestValidUntil = Math.max(this.newestValidUntil, sentAt + validMs);
    return true;
  }
}

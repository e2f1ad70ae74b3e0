import type {RegisteredEntry} from './events.js';
import {vouchMs} from './vouch-issuer.js';

/** The previous owner of a cell, as far as the store tells. */
export interface PreviousOwner {
  readonly entry: string;
  readonly dataCentre: string;
  readonly incarnation: number;
}

/** The fence of a new owner: which entries must answer before unreachable tasks may be restarted. */
export class FencingRound {
  private readonly answers = new Map<string, number>();
  private heldUntil: number;
  private complete = false;

  constructor(
    readonly term: number,
    private readonly self: string,
    private readonly previous: PreviousOwner | undefined,
    ownRemainingMs: number,
    at: number,
  ) {
    this.heldUntil = at + ownRemainingMs;
  }

  /** Registered entries outside the old owner's data centre that have not answered. */
  getMissing(entries: readonly RegisteredEntry[]): readonly RegisteredEntry[] {
    return entries.filter(
      entry =>
        entry.name !== this.self &&
        !this.answers.has(entry.name) &&
        entry.dataCentre !== this.previous?.dataCentre,
    );
  }

  /** Records an answer. */
  recordAnswer(entry: string, remainingMs: number, at: number): void {
    if (this.answers.has(entry)) return;
    this.answers.set(entry, remainingMs);
    this.heldUntil = Math.max(this.heldUntil, at + remainingMs);
  }

  /** Records that an entry is lost for good; a vouch that it gave may be valid for its full time. */
  recordLoss(entry: string, at: number): void {
    this.recordAnswer(entry, vouchMs, at);
  }

  /** Returns the time until which unreachable tasks are held, once, when every needed entry has answered. */
  tryComplete(entries: readonly RegisteredEntry[]): number | undefined {
    if (this.complete || this.getMissing(entries).length > 0) return undefined;
    this.complete = true;
    return this.heldUntil;
  }

  /** Whether every needed entry has answered. */
  get isComplete(): boolean {
    return this.complete;
  }
}

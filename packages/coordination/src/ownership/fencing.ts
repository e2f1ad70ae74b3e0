import type {RegisteredEntry} from './events.js';
import {vouchMs} from './vouch-issuer.js';

/** The previous owner of a cell as recorded under the holder key in the store. */
export interface PreviousOwner {
  readonly entry: string;
  readonly dataCentre: string;
  readonly incarnation: number;
}

/**
 * Fencing of the previous owner by a new one: tracks which entries must still answer before the tasks on
 * unreachable hosts may be restarted.
 */
export class FencingRound {
  private readonly answers = new Map<string, number>();
  private blockedUntil: number;
  private hasCompleted = false;

  constructor(
    readonly term: number,
    private readonly self: string,
    private readonly previous: PreviousOwner | undefined,
    ownRemainingMs: number,
    at: number,
  ) {
    this.blockedUntil = at + ownRemainingMs;
  }

  /**
   * Returns the registered entries that have not answered. Those in the previous owner's data centre are excluded,
   * because it requests no vouches from them.
   */
  getUnanswered(entries: readonly RegisteredEntry[]): readonly RegisteredEntry[] {
    return entries.filter(
      entry =>
        entry.name !== this.self &&
        !this.answers.has(entry.name) &&
        entry.dataCentre !== this.previous?.dataCentre,
    );
  }

  /** Records the first answer of an entry with the remaining validity of its last vouch. */
  recordAnswer(entry: string, remainingMs: number, at: number): void {
    if (this.answers.has(entry)) return;
    this.answers.set(entry, remainingMs);
    this.blockedUntil = Math.max(this.blockedUntil, at + remainingMs);
  }

  /** Records a permanently lost entry. A vouch that it issued may still be valid for the full `vouchMs`. */
  recordLoss(entry: string, at: number): void {
    this.recordAnswer(entry, vouchMs, at);
  }

  /**
   * Returns the time until which tasks on unreachable hosts must not be restarted, once every required entry has
   * answered. Returns undefined before that and on every later call.
   */
  tryComplete(entries: readonly RegisteredEntry[]): number | undefined {
    if (this.hasCompleted || this.getUnanswered(entries).length > 0) return undefined;
    this.hasCompleted = true;
    return this.blockedUntil;
  }

  /** Whether every required entry has answered. */
  get isComplete(): boolean {
    return this.hasCompleted;
  }
}

import type {Fenced, Vouched} from '../messages/index.js';

/** Time for which an entry vouches. */
export const vouchMs = 10_000;

/** Margin for the drift between two clocks. */
const driftFraction = 0.01;

/** The vouching side of an entry: the vouches that it has given, and the terms that it has seen. */
export class VouchIssuer {
  private readonly highestTerm = new Map<string, number>();
  private readonly vouchedUntil = new Map<string, number>();

  /** `startedAt` is the start of the process, before which it may have given vouches that it no longer knows. */
  constructor(
    private readonly entry: string,
    private readonly startedAt: number,
  ) {}

  /** Answers a request. A vouch is given only while this entry cannot reach the store either. */
  answerRequest(
    request: {readonly cell: string; readonly term: number; readonly sequence: number},
    storeReachable: boolean,
    at: number,
  ): Vouched {
    const {cell, term, sequence} = request;
    const granted = !storeReachable && term >= (this.highestTerm.get(cell) ?? 0);
    if (granted) {
      this.highestTerm.set(cell, term);
      this.vouchedUntil.set(cell, at + vouchMs * (1 + driftFraction));
    }
    return {kind: 'vouched', cell, term, sequence, granted, validMs: granted ? vouchMs : 0};
  }

  /** Answers a fence: lower terms get no vouch from now on. */
  fence(cell: string, term: number, at: number): Fenced {
    this.highestTerm.set(cell, Math.max(term, this.highestTerm.get(cell) ?? 0));
    const remainingMs = this.getRemainingMs(cell, at);
    return {kind: 'fenced', cell, term, entry: this.entry, remainingMs};
  }

  /** Returns the time for which a vouch of this entry may still be in use. */
  getRemainingMs(cell: string, at: number): number {
    const previousProcessUntil = this.startedAt + vouchMs * (1 + driftFraction);
    return Math.max(
      0,
      (this.vouchedUntil.get(cell) ?? previousProcessUntil) - at,
      previousProcessUntil - at,
    );
  }
}

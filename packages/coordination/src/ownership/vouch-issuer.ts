import type {Fenced, Vouched} from '../messages/index.js';

/** Validity of a vouch in milliseconds. */
export const vouchMs = 10_000;

/** Allowance for the drift between the clocks of two processes. */
const clockDriftFraction = 0.01;

/**
 * Issues vouches for the owners of cells and refuses owners of terms that have been superseded. A vouch is a short
 * lease, granted by an entry instead of the store while the store is unreachable. An owner continues while one is
 * valid; a new owner restarts no tasks on unreachable hosts until all vouches for the previous owner have expired.
 */
export class VouchIssuer {
  private readonly highestTerm = new Map<string, number>();
  private readonly vouchedUntil = new Map<string, number>();

  /**
   * `startedAt` is the start time of the process. Vouches that a previous process of this entry issued are unknown
   * but may be valid for a full period after it.
   */
  constructor(
    private readonly entry: string,
    private readonly startedAt: number,
  ) {}

  /**
   * Answers a vouch request. It is granted only while this entry cannot reach the store either and no higher term
   * has been seen for the cell.
   */
  answerRequest(
    request: {readonly cell: string; readonly term: number; readonly sequence: number},
    isStoreReachable: boolean,
    at: number,
  ): Vouched {
    const {cell, term, sequence} = request;
    const granted = !isStoreReachable && term >= (this.highestTerm.get(cell) ?? 0);
    if (granted) {
      this.highestTerm.set(cell, term);
      this.vouchedUntil.set(cell, at + vouchMs * (1 + clockDriftFraction));
    }
    return {kind: 'vouched', cell, term, sequence, granted, validMs: granted ? vouchMs : 0};
  }

  /** Answers a fence message. Lower terms are refused vouches from now on. */
  fence(cell: string, term: number, at: number): Fenced {
    this.highestTerm.set(cell, Math.max(term, this.highestTerm.get(cell) ?? 0));
    const remainingMs = this.getRemainingMs(cell, at);
    return {kind: 'fenced', cell, term, entry: this.entry, remainingMs};
  }

  /** Returns the time in milliseconds for which an owner may still rely on a vouch of this entry. */
  getRemainingMs(cell: string, at: number): number {
    const previousProcessUntil = this.startedAt + vouchMs * (1 + clockDriftFraction);
    return Math.max(
      0,
      (this.vouchedUntil.get(cell) ?? previousProcessUntil) - at,
      previousProcessUntil - at,
    );
  }
}

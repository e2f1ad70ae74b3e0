import type {SuccessorCandidate} from '@chervilbeam/coordination';

/** Offer of an owner that is about to leave. */
export interface HandoverOffer {
  /** Term of the owner: the revision of the owner key that the successor may replace. */
  readonly term: number;
  /** What the owner has learned; not checked yet. */
  readonly learned?: unknown;
}

/** Answer to an offer: whether the claim of the successor has taken effect, and why not. */
export type HandoverReply =
  {readonly isTaken: true} | {readonly isTaken: false; readonly reason: string};

/** Calls of an owner that is about to leave to the other entries. */
export interface HandoverCalls {
  /** Asks all other entries whether they would take the ownership over; without those that do not answer in time. */
  findCandidates(timeoutMs: number): Promise<readonly SuccessorCandidate[]>;
  /** Offers the ownership; undefined without an answer in time, as from an entry of a previous version. */
  offer(
    address: string,
    offer: HandoverOffer,
    timeoutMs: number,
  ): Promise<HandoverReply | undefined>;
}

import {getClaimDelayMs} from './claim-delay.js';

/** What another entry answers an owner that looks for a successor. */
export interface SuccessorCandidate {
  readonly address: string;
  /** Whether it would take the ownership over: it is not draining, and the store serves it. */
  readonly isAvailable: boolean;
  /** Processors that it can use as the owner. */
  readonly processors: number;
  /** Smallest measured round trip of one of its store calls in milliseconds. */
  readonly roundTripMs: number;
}

/**
 * Returns the addresses of the available candidates in the order in which they would claim a vacant ownership: stronger
 * ones first, then those nearer to the store.
 */
export function rankSuccessors(candidates: readonly SuccessorCandidate[]): readonly string[] {
  const available = candidates.filter(({isAvailable}) => isAvailable);
  const ranked = available.map(candidate => {
    const others = available.filter(other => other !== candidate);
    const delayMs = getClaimDelayMs({
      roundTripMs: candidate.roundTripMs,
      processors: candidate.processors,
      otherProcessors: others.map(({processors}) => processors),
    });
    return {address: candidate.address, delayMs};
  });
  return ranked.sort((a, b) => a.delayMs - b.delayMs).map(({address}) => address);
}

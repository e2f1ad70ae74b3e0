/**
 * Multiple of the round trip to the store by which a claim is delayed, so that the nearest entry claims first. A claim
 * takes two round trips; with twice as many, a claim has taken effect before an entry that is twice as far away begins its own.
 */
const roundTripFactor = 4;
/**
 * Upper bound of the delay for the round trip, in milliseconds: that of an entry 30 ms away in each direction. The first calls
 * of a process can be slow wherever it runs, so a longer round trip does not prove a more distant store.
 */
const maxRoundTripDelayMs = 250;
/** Ratio of processors at or above which another entry counts as stronger. */
const strongerRatio = 1.5;
/** Additional delay in milliseconds that gives a stronger entry time to notice the vacancy. */
const strongerEntryDelayMs = 800;
/** Additional delay in milliseconds until the other entries are known, at most. */
const unknownEntriesDelayMs = 250;

/** Traffic in megabits per second that an owner causes for each processor that it uses. */
const megabitsPerProcessor = 20;

/**
 * Returns the number of processors that an entry can use as the owner. On a slow network link the link is the limit:
 * lease renewals and starts would wait behind each other.
 */
export function getUsableProcessors(processors: number, linkMegabits: number): number {
  return Math.min(processors, linkMegabits / megabitsPerProcessor);
}

/** Inputs of `getClaimDelayMs`. */
export interface ClaimDelayInputs {
  /** Smallest measured round trip of a store call in milliseconds. */
  readonly roundTripMs: number;
  /** Processors that this entry can use as the owner, possibly a fraction. */
  readonly processors: number;
  /** Processors that each of the other running entries can use; undefined while they are not known. */
  readonly otherProcessors: readonly number[] | undefined;
}

/**
 * Returns the time in milliseconds that an entry waits before it claims a vacant ownership. Entries with more
 * processors and a shorter round trip to the store claim first, since a small entry lacks the processing power to
 * schedule all submissions.
 */
export function getClaimDelayMs(inputs: ClaimDelayInputs): number {
  const {roundTripMs, processors, otherProcessors: others} = inputs;
  const roundTripDelayMs = Math.min(maxRoundTripDelayMs, roundTripMs * roundTripFactor);
  if (others === undefined) return roundTripDelayMs + unknownEntriesDelayMs;
  const hasStrongerEntry = others.some(other => other >= processors * strongerRatio);
  return roundTripDelayMs + (hasStrongerEntry ? strongerEntryDelayMs : 0);
}

/** Round trip to the store, as a multiple, by which a claim is delayed: the nearest entry goes first. */
const roundTripFactor = 8;
/** Longest delay for the way to the store in milliseconds; the first call of a process may take long anyway. */
const maxRoundTripDelayMs = 500;
/** Ratio of processors from which another entry counts as stronger. */
const strongerRatio = 1.5;
/** Delay in milliseconds for a stronger entry, which has to notice the vacancy as well. */
const strongerEntryDelayMs = 800;
/** Delay in milliseconds while the other entries are not known yet. */
const unknownEntriesDelayMs = 250;

/** What decides how long an entry waits before it claims a vacant ownership. */
export interface ClaimDelayInputs {
  /** Time in milliseconds of a call to the store. */
  readonly roundTripMs: number;
  /** Processors of the entry. */
  readonly processors: number;
  /** Processors of the other entries that are up; undefined while they are not known. */
  readonly others: readonly number[] | undefined;
}

/**
 * Returns the time in milliseconds that an entry waits before it claims a vacant ownership: strong entries near the
 * store go first, since deciding for all submissions takes more than a weak one has.
 */
export function getClaimDelayMs(inputs: ClaimDelayInputs): number {
  const {roundTripMs, processors, others} = inputs;
  const roundTripDelayMs = Math.min(maxRoundTripDelayMs, roundTripMs * roundTripFactor);
  if (others === undefined) return roundTripDelayMs + unknownEntriesDelayMs;
  const hasStrongerEntry = others.some(other => other >= processors * strongerRatio);
  return roundTripDelayMs + (hasStrongerEntry ? strongerEntryDelayMs : 0);
}

/** Largest share of the time that placement rounds may take while events keep arriving. */
const maxRoundShare = 0.25;
/** Longest time in milliseconds between the end of a round and the start of the next one that is due. */
const maxPauseMs = 250;

/**
 * Spaces placement rounds by what they cost. With hundreds of workers, reports that free room arrive faster than rounds
 * can be executed, and on a host with a small share of a processor the rounds would delay leases, stops and the renewal
 * of the ownership. A round that starts later serves the events of several reports at once.
 */
export class RoundThrottle {
  private nextAt = Number.NEGATIVE_INFINITY;

  /** Returns the time in milliseconds after which the next round may start; 0 when it may start now. */
  getDelayMs(at: number): number {
    return Math.max(0, this.nextAt - at);
  }

  /** Records a round with its start and end times in milliseconds. */
  recordRound(startedAt: number, endedAt: number): void {
    const pauseMs = (endedAt - startedAt) * (1 / maxRoundShare - 1);
    this.nextAt = endedAt + Math.min(maxPauseMs, pauseMs);
  }
}

import {RoundThrottle} from './round-throttle.js';

/**
 * Tasks that a placement round considers: those that reserve their processors (`reserving`), or `all`, which includes
 * filling tasks. Filling tasks need the headroom of every worker to be examined, which makes their rounds expensive.
 */
export type PlacementScope = 'reserving' | 'all';

/** All scopes; a round of a later one includes those before it. */
export const placementScopes: readonly PlacementScope[] = ['reserving', 'all'];

/** A placement round and the time in milliseconds until it may start. */
export interface PlannedRound {
  readonly scope: PlacementScope;
  readonly delayMs: number;
}

/**
 * Plans placement rounds under a load of small urgent submissions beside a backlog of filling work, on a host with a
 * small share of a processor. Rounds of all tasks are spaced by their cost. Rounds for the tasks that reserve
 * processors go before them and in between, so that a submission of some hundred milliseconds does not wait for them.
 */
export class RoundPlan {
  private readonly throttles: Readonly<Record<PlacementScope, RoundThrottle>> = {
    reserving: new RoundThrottle(),
    all: new RoundThrottle(),
  };

  /** Returns the next round at a time in milliseconds, or undefined when none is due. */
  getNext(at: number, isDue: (scope: PlacementScope) => boolean): PlannedRound | undefined {
    const rounds = placementScopes
      .filter(isDue)
      .map(scope => ({scope, delayMs: this.throttles[scope].getDelayMs(at)}));
    const [first, second] = rounds;
    if (first === undefined || second === undefined) return first;
    return first.delayMs <= second.delayMs ? first : second;
  }

  /** Records a round with its start and end times in milliseconds. */
  recordRound(scope: PlacementScope, startedAt: number, endedAt: number): void {
    this.throttles[scope].recordRound(startedAt, endedAt);
  }
}

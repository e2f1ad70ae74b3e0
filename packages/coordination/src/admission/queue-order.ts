import type {Urgency} from '../messages/identity.js';

/** Share and order of a class in a `FairQueue`. */
export interface QueueClass {
  readonly urgency: Urgency;
  /** Requests in flight that the class may always have, before scaling to the present capacity. */
  readonly guaranteed: number;
  /** Weight among classes of the same urgency. */
  readonly weight: number;
}

/** What an order knows of a class with queued requests. */
export interface WaitingClass {
  /** Requests in flight that the class may always have at the present capacity. */
  readonly guaranteed: number;
  /** Urgency as a number, 0 highest. */
  readonly level: number;
  readonly inFlight: number;
  /** Requests in flight, averaged over the last half second. */
  readonly usage: number;
  /** Virtual service received, for fairness among equals. */
  readonly virtualService: number;
  /** Arrival of the oldest queued request. */
  readonly oldestAt: number;
}

/** Decides which class is served next. */
export interface QueueOrder {
  /** Whether `a` is served before `b`. */
  isBefore(a: WaitingClass, b: WaitingClass): boolean;
}

/** Bound on a burst beyond the guaranteed share, as a multiple of it. */
const burstRatio = 2;

/**
 * Classes below their guaranteed share first, then by urgency, then fairly by weight. Strict urgency alone starves
 * the rest under a flood of urgent work, and equal shares alone let a flood of background work take the share of
 * urgent work. The share is compared with the average use, because random arrivals within the grant often put more
 * requests in flight for a moment.
 */
export class GuaranteedOrder implements QueueOrder {
  /** Whether `a` is served before `b`. */
  isBefore(a: WaitingClass, b: WaitingClass): boolean {
    return isBeforeByGuarantee(a, b, isBelowOnAverage(a), isBelowOnAverage(b));
  }
}

/** Baseline: the previous policy, which compares the share with the requests in flight at the moment. */
export class InstantOrder implements QueueOrder {
  /** Whether `a` is served before `b`. */
  isBefore(a: WaitingClass, b: WaitingClass): boolean {
    const [isABelow, isBBelow] = [a, b].map(c => c.inFlight < c.guaranteed);
    return isBeforeByGuarantee(a, b, isABelow!, isBBelow!);
  }
}

function isBelowOnAverage({inFlight, usage, guaranteed}: WaitingClass): boolean {
  return usage < guaranteed && inFlight < burstRatio * guaranteed;
}

function isBeforeByGuarantee(
  a: WaitingClass,
  b: WaitingClass,
  isABelow: boolean,
  isBBelow: boolean,
): boolean {
  if (isABelow !== isBBelow) return isABelow;
  if (isABelow) return a.inFlight / a.guaranteed < b.inFlight / b.guaranteed;
  if (a.level !== b.level) return a.level < b.level;
  return a.virtualService < b.virtualService;
}

/** Baseline: the oldest request first, whatever its class. */
export class FirstComeOrder implements QueueOrder {
  /** Whether `a` is served before `b`. */
  isBefore(a: WaitingClass, b: WaitingClass): boolean {
    return a.oldestAt < b.oldestAt;
  }
}

/** Baseline: strict urgency. */
export class UrgencyOrder implements QueueOrder {
  /** Whether `a` is served before `b`. */
  isBefore(a: WaitingClass, b: WaitingClass): boolean {
    return a.level !== b.level ? a.level < b.level : a.oldestAt < b.oldestAt;
  }
}

/** Baseline: equal shares of the requests in flight. */
export class EqualOrder implements QueueOrder {
  /** Whether `a` is served before `b`. */
  isBefore(a: WaitingClass, b: WaitingClass): boolean {
    return a.inFlight < b.inFlight;
  }
}

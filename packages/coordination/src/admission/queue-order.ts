import type {Urgency} from '../messages/identity.js';

/** Urgency and share of a class in a `FairQueue`. */
export interface QueueClass {
  readonly urgency: Urgency;
  /** Guaranteed requests in flight, before scaling to the current capacity. */
  readonly guaranteed: number;
  /** Weight among classes of the same urgency. */
  readonly weight: number;
}

/** State of a class with queued requests, as seen by a `QueueOrder`. */
export interface WaitingClass {
  /** Guaranteed requests in flight at the current capacity. */
  readonly guaranteed: number;
  /** Index of the urgency; 0 is the highest. */
  readonly level: number;
  readonly inFlight: number;
  /** Moving average of the requests in flight over half a second. */
  readonly usage: number;
  /** Requests taken divided by weight, for weighted fair queueing among classes of equal urgency. */
  readonly virtualService: number;
  /** Arrival time of the oldest queued request. */
  readonly oldestAt: number;
}

/** Scheduling policy that decides which class is served next. */
export interface QueueOrder {
  /** Whether `a` is served before `b`. */
  isBefore(a: WaitingClass, b: WaitingClass): boolean;
}

/** Multiple of the guaranteed share up to which a burst in flight still has guaranteed precedence. */
const burstRatio = 2;

/**
 * Serves classes below their guaranteed share first, then by urgency, then by weighted fair queueing. Strict priority
 * by urgency alone starves other classes under a flood of urgent requests, and equal shares alone let a flood of
 * background requests take the share of urgent ones. The share is compared with the average requests in flight,
 * because random arrivals within the grant often exceed it briefly.
 */
export class GuaranteedOrder implements QueueOrder {
  /** Whether `a` is served before `b`. */
  isBefore(a: WaitingClass, b: WaitingClass): boolean {
    return isBeforeByGuarantee(a, b, isBelowOnAverage(a), isBelowOnAverage(b));
  }
}

/**
 * Baseline for measurements: the predecessor of `GuaranteedOrder`, which compares the share with the current requests in
 * flight.
 */
export class InstantOrder implements QueueOrder {
  /** Whether `a` is served before `b`. */
  isBefore(a: WaitingClass, b: WaitingClass): boolean {
    const [isABelow, isBBelow] = [a, b].map(
      waitingClass => waitingClass.inFlight < waitingClass.guaranteed,
    );
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

/** Baseline for measurements: first come, first served, regardless of class. */
export class FirstComeOrder implements QueueOrder {
  /** Whether `a` is served before `b`. */
  isBefore(a: WaitingClass, b: WaitingClass): boolean {
    return a.oldestAt < b.oldestAt;
  }
}

/** Baseline for measurements: strict priority by urgency, then first come, first served. */
export class UrgencyOrder implements QueueOrder {
  /** Whether `a` is served before `b`. */
  isBefore(a: WaitingClass, b: WaitingClass): boolean {
    return a.level !== b.level ? a.level < b.level : a.oldestAt < b.oldestAt;
  }
}

/** Baseline for measurements: equal shares of the requests in flight. */
export class EqualOrder implements QueueOrder {
  /** Whether `a` is served before `b`. */
  isBefore(a: WaitingClass, b: WaitingClass): boolean {
    return a.inFlight < b.inFlight;
  }
}

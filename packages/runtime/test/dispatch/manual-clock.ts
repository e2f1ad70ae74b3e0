import type {Clock} from '@chervilbeam/coordination';

/** A clock that a test sets. */
export class ManualClock implements Clock {
  timeMs = 0;

  now(): number {
    return this.timeMs;
  }

  wallTime(): number {
    return this.timeMs;
  }
}

import type {Clock} from '@chervilbeam/coordination';

/** Monotonic clock of the process and wall clock of the system. */
export class SystemClock implements Clock {
  /** Returns monotonic milliseconds since the process started. */
  now(): number {
    return performance.now();
  }

  /** Returns milliseconds since the Unix epoch. */
  wallTime(): number {
    return Date.now();
  }
}

import type {Clock} from '@chervilbeam/coordination';

/** The process's monotonic clock and the system's wall clock. */
export class SystemClock implements Clock {
  /** Returns monotonic milliseconds. */
  now(): number {
    return performance.now();
  }

  /** Returns milliseconds since the Unix epoch. */
  wallTime(): number {
    return Date.now();
  }
}

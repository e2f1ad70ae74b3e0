/** Source of time for code that does I/O; reducers receive the time with each event instead. */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary start. */
  now(): number;
  /** Milliseconds since the Unix epoch, for display and dates only. */
  wallTime(): number;
}

import type {Clock} from '@chervilbeam/coordination';

/** Difference in milliseconds between the two clocks above which the host may have been suspended. */
const suspensionMs = 100;

/**
 * Monotonic clock for the validity of leases that this process holds. The steady clock stands still while a host
 * is suspended, but the lease goes on. Node.js cannot read the boot clock without a file that may belong to another
 * host, so each jump of the wall clock ahead of the steady clock counts as a suspension. A wall clock that was set
 * ahead therefore ends a lease too early, which is safe; it never makes one last longer.
 */
export class LeaseClock implements Clock {
  private offset: number;
  private suspendedMs = 0;

  /** `onSuspension` is told the length in milliseconds of each suspension. */
  constructor(
    private readonly clock: Clock,
    private readonly onSuspension: (ms: number) => void = () => {},
  ) {
    this.offset = clock.wallTime() - clock.now();
  }

  /** Returns monotonic milliseconds, with the time for which the host may have been suspended. */
  now(): number {
    const now = this.clock.now();
    const offset = this.clock.wallTime() - now;
    const ahead = offset - this.offset;
    this.offset = offset;
    if (ahead > suspensionMs) {
      this.suspendedMs += ahead;
      this.onSuspension(ahead);
    }
    return now + this.suspendedMs;
  }

  /** Returns milliseconds since the Unix epoch. */
  wallTime(): number {
    return this.clock.wallTime();
  }
}

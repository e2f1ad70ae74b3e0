import type {Clock} from '@chervilbeam/coordination';

/** Jump in milliseconds of the wall clock ahead of the steady clock above which a suspension is assumed. */
const suspensionThresholdMs = 100;

/**
 * Monotonic clock for the validity of leases that this process holds. The steady clock stops while the host is
 * suspended, but leases still expire in the store; each jump of the wall clock ahead of the steady clock therefore
 * counts as a suspension, because Node.js can read the boot clock only from /proc/uptime, which in a container may show
 * the uptime of the underlying machine rather than the container's. Setting the wall clock ahead ends a lease too
 * early, which is safe; no change of the wall clock extends a lease.
 */
export class LeaseClock implements Clock {
  /** Latest wall time minus steady time, in milliseconds. */
  private offset: number;
  private suspendedMs = 0;

  /** `onSuspension` is called with the length in milliseconds of each assumed suspension. */
  constructor(
    private readonly clock: Clock,
    private readonly onSuspension: (ms: number) => void = () => {},
  ) {
    this.offset = clock.wallTime() - clock.now();
  }

  /** Returns monotonic milliseconds, including assumed suspensions. */
  now(): number {
    const now = this.clock.now();
    const offset = this.clock.wallTime() - now;
    const jumpMs = offset - this.offset;
    this.offset = offset;
    if (jumpMs > suspensionThresholdMs) {
      this.suspendedMs += jumpMs;
      this.onSuspension(jumpMs);
    }
    return now + this.suspendedMs;
  }

  /** Returns milliseconds since the Unix epoch. */
  wallTime(): number {
    return this.clock.wallTime();
  }
}

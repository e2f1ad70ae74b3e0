import {uptime} from 'node:os';
import type {Clock} from '@chervilbeam/coordination';

/** Difference in milliseconds between the two clocks above which the host counts as suspended. */
const suspensionMs = 100;

/**
 * Monotonic clock that also counts the time for which the host was suspended. Leases of other processes go on
 * during that time, so a clock without it would take them for longer than they are.
 */
export class BootClock implements Clock {
  private suspendedMs = 0;
  private readonly bootOffset: number;
  private isFresh = false;

  constructor() {
    this.bootOffset = uptime() * 1000 - performance.now();
  }

  /** Returns monotonic milliseconds. */
  now(): number {
    if (!this.isFresh) this.compare();
    return performance.now() + this.suspendedMs;
  }

  /** Returns milliseconds since the Unix epoch. */
  wallTime(): number {
    return Date.now();
  }

  /** Compares the clocks once a turn of the loop, since the reading of the boot time is a system call. */
  private compare(): void {
    this.isFresh = true;
    setImmediate(() => (this.isFresh = false));
    const behind = uptime() * 1000 - performance.now() - this.bootOffset - this.suspendedMs;
    if (behind > suspensionMs) this.suspendedMs += behind;
  }
}

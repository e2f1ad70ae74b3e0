import type {Clock} from '@chervilbeam/coordination';

/** Time between two ticks while requests are in flight, and while none are. */
const busyTickMs = 10;
const idleTickMs = 50;

/** Ticks often while requests are in flight and rarely otherwise, to save processor time on idle hosts. */
export class Ticker {
  private timer?: NodeJS.Timeout;
  private tickedAt = -Infinity;

  /** Creates a ticker; `isIdle` is asked before each tick. */
  constructor(
    private readonly clock: Clock,
    private readonly isIdle: () => boolean,
    private readonly tick: () => void,
  ) {}

  /** Starts ticking. */
  start(): void {
    this.timer = setInterval(() => this.wake(), busyTickMs);
  }

  /** Stops ticking. */
  stop(): void {
    clearInterval(this.timer);
  }

  private wake(): void {
    const at = this.clock.now();
    if (this.isIdle() && at - this.tickedAt < idleTickMs) return;
    this.tickedAt = at;
    this.tick();
  }
}

import {type Clock, RoundThrottle} from '@chervilbeam/coordination';

/** Options of `RoundScheduler`. */
export interface RoundSchedulerOptions {
  readonly clock: Clock;
  /** Called once after all events of one event-loop turn. */
  readonly settle: () => void;
  /** Whether a placement round is due. */
  readonly isRoundDue: () => boolean;
  readonly runRound: () => void;
}

/** Settles the dispatcher after each event-loop turn with events, and spaces its placement rounds by their cost. */
export class RoundScheduler {
  private readonly throttle = new RoundThrottle();
  private isSettleScheduled = false;
  private isRoundScheduled = false;

  constructor(private readonly options: RoundSchedulerOptions) {}

  /** Schedules what follows an event; several calls in one event-loop turn have the effect of one. */
  schedule(): void {
    if (this.isSettleScheduled) return;
    this.isSettleScheduled = true;
    setImmediate(() => {
      this.isSettleScheduled = false;
      this.options.settle();
      this.scheduleRound();
    });
  }

  private scheduleRound(): void {
    if (this.isRoundScheduled || !this.options.isRoundDue()) return;
    const delayMs = this.throttle.getDelayMs(this.options.clock.now());
    if (delayMs === 0) return this.runRound();
    this.isRoundScheduled = true;
    setTimeout(() => {
      // After a pause of the process, timers run before messages that have arrived meanwhile, and these may change what
      // may be started.
      setImmediate(() => {
        this.isRoundScheduled = false;
        this.runRound();
      });
    }, delayMs);
  }

  private runRound(): void {
    const {clock, runRound} = this.options;
    const startedAt = clock.now();
    runRound();
    this.throttle.recordRound(startedAt, clock.now());
  }
}

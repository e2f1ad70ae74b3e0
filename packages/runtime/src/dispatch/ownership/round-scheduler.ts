import {type Clock, type PlacementScope, RoundPlan} from '@chervilbeam/coordination';

/** Options of `RoundScheduler`. */
export interface RoundSchedulerOptions {
  readonly clock: Clock;
  /** Called once after all events of one event-loop turn. */
  readonly settle: () => void;
  /** Whether a placement round of a scope is due. */
  readonly isRoundDue: (scope: PlacementScope) => boolean;
  readonly runRound: (scope: PlacementScope) => void;
}

/** Settles the dispatcher after each event-loop turn with events, and spaces its placement rounds by their cost. */
export class RoundScheduler {
  private readonly plan = new RoundPlan();
  private isSettleScheduled = false;
  private timer: NodeJS.Timeout | undefined;
  /** Time in milliseconds at which `timer` fires. */
  private timerAt = Number.POSITIVE_INFINITY;

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

  /** Runs the next round at once, or when it may start. */
  private scheduleRound(): void {
    const {clock, isRoundDue} = this.options;
    const now = clock.now();
    const round = this.plan.getNext(now, isRoundDue);
    if (round === undefined) return;
    if (round.delayMs === 0) this.runRound(round.scope);
    else this.setTimer(now + round.delayMs, round.delayMs);
  }

  private setTimer(at: number, delayMs: number): void {
    if (this.timerAt <= at) return;
    clearTimeout(this.timer);
    this.timerAt = at;
    this.timer = setTimeout(() => {
      this.timerAt = Number.POSITIVE_INFINITY;
      // After a pause of the process, timers run before messages that have arrived meanwhile, and these may change what
      // may be started.
      setImmediate(() => this.scheduleRound());
    }, delayMs);
  }

  private runRound(scope: PlacementScope): void {
    const {clock, runRound, isRoundDue} = this.options;
    const startedAt = clock.now();
    runRound(scope);
    const endedAt = clock.now();
    this.plan.recordRound(scope, startedAt, endedAt);
    // No event may follow that would schedule the round of the other tasks.
    const next = this.plan.getNext(endedAt, isRoundDue);
    if (next !== undefined) this.setTimer(endedAt + next.delayMs, next.delayMs);
  }
}

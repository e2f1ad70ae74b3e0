import type {Clock, Reducer} from '@chervilbeam/coordination';

/** Event loop around a reducer: applies one event at a time and executes its effects in order. */
export class Loop<Event, Effect> {
  /** Events that were posted while another event was being applied. */
  private readonly waiting: Event[] = [];
  private running = false;

  /** Creates a loop; `executeEffect` executes one effect and may post further events. */
  constructor(
    private readonly reducer: Reducer<Event, Effect>,
    private readonly clock: Clock,
    private readonly executeEffect: (effect: Effect) => void,
  ) {}

  /** Applies an event. Events posted while an effect is executed are queued until the current event is done. */
  post(event: Event): void {
    if (this.running) {
      this.waiting.push(event);
      return;
    }
    this.running = true;
    try {
      this.apply(event);
      for (let next = this.waiting.shift(); next !== undefined; next = this.waiting.shift()) {
        this.apply(next);
      }
    } finally {
      this.running = false;
    }
  }

  private apply(event: Event): void {
    for (const effect of this.reducer.reduce(event, this.clock.now())) this.executeEffect(effect);
  }
}

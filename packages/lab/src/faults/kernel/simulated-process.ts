import type {Simulation} from './simulation.js';

/** Options of a simulated process. */
export interface ProcessOptions {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  readonly dataCentre: string;
  readonly region: string;
  /** Interval between two ticks. */
  readonly tickMs: number;
}

/** A process with its own clock that can be killed, restarted, frozen and resumed. */
export abstract class SimulatedProcess {
  readonly name: string;
  /** Number of the current incarnation, from 1; callbacks of an earlier incarnation are dropped. */
  life = 0;
  isAlive = false;
  isFrozen = false;
  /** Random identifier of the current incarnation, as sent in hello messages. */
  incarnation = 0;
  #inbox: Array<() => void> = [];
  /** Reading of the clock, and virtual time, when its rate was last set. */
  #clockAtRateChange: number;
  #clockRateSetAt = 0;
  #clockRate = 1;

  constructor(
    readonly simulation: Simulation,
    readonly options: ProcessOptions,
  ) {
    this.name = options.name;
    this.#clockAtRateChange = Math.floor(simulation.random.between(1_000, 1_000_000));
  }

  /** Identifies the current incarnation of the process in the history: `<name>#<life>`. */
  get identity(): string {
    return `${this.name}#${this.life}`;
  }

  /** Time on the clock of this process in milliseconds. The clock starts at a random value. */
  get clock(): number {
    return this.#clockAtRateChange + (this.simulation.now - this.#clockRateSetAt) * this.#clockRate;
  }

  /** Sets how fast the clock runs from now on; 1 is the rate of virtual time. */
  setClockRate(rate: number): void {
    this.#clockAtRateChange = this.clock;
    this.#clockRateSetAt = this.simulation.now;
    this.#clockRate = rate;
  }

  /** Starts the process with a new incarnation and without state; does nothing while it is running. */
  start(): void {
    if (this.isAlive) return;
    this.life++;
    this.isAlive = true;
    this.isFrozen = false;
    this.#inbox = [];
    this.incarnation = this.simulation.random.nextIncarnation();
    this.simulation.record({kind: 'process-started', process: this.identity});
    this.boot();
    this.#scheduleTick(this.life);
  }

  /** Kills the process without a graceful shutdown. */
  kill(): void {
    if (!this.isAlive) return;
    this.simulation.record({kind: 'process-killed', process: this.identity});
    this.#end();
  }

  /** Ends the process after a graceful shutdown. */
  exit(): void {
    if (!this.isAlive) return;
    this.simulation.record({kind: 'process-exited', process: this.identity});
    this.#end();
  }

  /** Executes the effects of one event in order; stops when a fault at one of the effects kills the process. */
  protected executeEffects<Effect>(
    effects: readonly Effect[],
    execute: (effect: Effect) => void,
    beforeEffects?: () => void,
  ): void {
    const {life} = this;
    beforeEffects?.();
    for (const effect of effects) {
      if (!this.isAlive || this.life !== life) return;
      // A process that was frozen between the reducer and its effects executes them after it resumes.
      if (this.isFrozen) this.deliver(() => execute(effect));
      else execute(effect);
    }
  }

  /** Freezes the process, as SIGSTOP does; input is queued until `resume`. */
  freeze(): void {
    if (this.isAlive) this.isFrozen = true;
  }

  /** Resumes a frozen process: it runs a tick and then handles the queued input. */
  resume(): void {
    if (!this.isFrozen) return;
    this.isFrozen = false;
    const inbox = this.#inbox;
    this.#inbox = [];
    // The event loop runs due timers before it reads from its sockets.
    this.tick();
    for (const input of inbox) {
      if (this.isAlive) input();
    }
  }

  /** Handles input at once, or after `resume` when the process is frozen; drops it when the process is not running. */
  deliver(input: () => void): void {
    if (!this.isAlive) return;
    if (this.isFrozen) this.#inbox.push(input);
    else input();
  }

  /** Runs an action after a delay, unless the process has ended or restarted by then. */
  after(delayMs: number, action: () => void): void {
    const life = this.life;
    this.simulation.schedule(delayMs, () => {
      if (this.life === life) this.deliver(action);
    });
  }

  /** Creates new reducers when the process starts. */
  protected abstract boot(): void;

  /** Passes a timer tick to the reducers. */
  protected abstract tick(): void;

  /** Called when the process is killed or exits. */
  protected abstract onEnd(): void;

  #end(): void {
    this.isAlive = false;
    this.isFrozen = false;
    this.#inbox = [];
    this.onEnd();
  }

  #scheduleTick(life: number): void {
    this.simulation.schedule(this.options.tickMs, () => {
      if (!this.isAlive || this.life !== life) return;
      if (!this.isFrozen) this.tick();
      this.#scheduleTick(life);
    });
  }
}

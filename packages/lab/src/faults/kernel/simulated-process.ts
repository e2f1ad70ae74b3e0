import type {Simulation} from './simulation.js';

/** Options of a simulated process. */
export interface ProcessOptions {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  readonly dataCentre: string;
  readonly region: string;
  readonly tickMs: number;
}

/** A process with a clock of its own that can be killed, restarted, frozen and woken. */
export abstract class SimulatedProcess {
  readonly name: string;
  /** Number of the life of this process; work of an earlier life is dropped. */
  life = 0;
  alive = false;
  frozen = false;
  incarnation = 0;
  #inbox: Array<() => void> = [];
  #clockBase: number;
  #clockSince = 0;
  #clockRate = 1;

  constructor(
    readonly simulation: Simulation,
    readonly options: ProcessOptions,
  ) {
    this.name = options.name;
    this.#clockBase = Math.floor(simulation.random.between(1_000, 1_000_000));
  }

  /** Name of the present life in the history. */
  get identity(): string {
    return `${this.name}#${this.life}`;
  }

  /** Time on the clock of this process. */
  get clock(): number {
    return this.#clockBase + (this.simulation.now - this.#clockSince) * this.#clockRate;
  }

  /** Makes the clock run faster or slower from now on. */
  setClockRate(rate: number): void {
    this.#clockBase = this.clock;
    this.#clockSince = this.simulation.now;
    this.#clockRate = rate;
  }

  /** Starts a new life. */
  start(): void {
    if (this.alive) return;
    this.life++;
    this.alive = true;
    this.frozen = false;
    this.#inbox = [];
    this.incarnation = this.simulation.random.nextIncarnation();
    this.simulation.record({kind: 'process-started', process: this.identity});
    this.boot();
    this.#scheduleTick(this.life);
  }

  /** Ends this life without notice. */
  kill(): void {
    if (!this.alive) return;
    this.simulation.record({kind: 'process-killed', process: this.identity});
    this.#end();
  }

  /** Ends this life after a graceful shutdown. */
  exit(): void {
    if (!this.alive) return;
    this.simulation.record({kind: 'process-exited', process: this.identity});
    this.#end();
  }

  /** Carries out the effects of one event in this life, which a fault at any of them may end or stop. */
  protected carryOut<Effect>(
    effects: readonly Effect[],
    execute: (effect: Effect) => void,
    beforeEffects?: () => void,
  ): void {
    const {life} = this;
    beforeEffects?.();
    for (const effect of effects) {
      if (!this.alive || this.life !== life) return;
      // A process that was stopped between reduction and effects carries them out after its wake.
      if (this.frozen) this.deliver(() => execute(effect));
      else execute(effect);
    }
  }

  /** Stops the process without its notice; input waits until `wake`. */
  freeze(): void {
    if (this.alive) this.frozen = true;
  }

  /** Lets a frozen process go on with its waiting input. */
  wake(): void {
    if (!this.frozen) return;
    this.frozen = false;
    const inbox = this.#inbox;
    this.#inbox = [];
    // The event loop runs due timers before it reads what has arrived.
    this.tick();
    for (const input of inbox) {
      if (this.alive) input();
    }
  }

  /** Gives input to the present life: at once, after the wake, or not at all when the process is dead. */
  deliver(input: () => void): void {
    if (!this.alive) return;
    if (this.frozen) this.#inbox.push(input);
    else input();
  }

  /** Runs an action in this life after a delay. */
  after(delayMs: number, action: () => void): void {
    const life = this.life;
    this.simulation.schedule(delayMs, () => {
      if (this.life === life) this.deliver(action);
    });
  }

  /** Creates the reducers of a new life. */
  protected abstract boot(): void;

  /** Gives the reducers their tick. */
  protected abstract tick(): void;

  /** Called when a life ends. */
  protected abstract ended(): void;

  #end(): void {
    this.alive = false;
    this.frozen = false;
    this.#inbox = [];
    this.ended();
  }

  #scheduleTick(life: number): void {
    this.simulation.schedule(this.options.tickMs, () => {
      if (!this.alive || this.life !== life) return;
      if (!this.frozen) this.tick();
      this.#scheduleTick(life);
    });
  }
}

import {createDelivery, type InteractionListener, type InjectionPoint} from './interaction.js';
import type {SimulatedProcess} from './simulated-process.js';
import type {Simulation} from './simulation.js';

/** A request that an agent sends to the backend server. */
export interface BackendRequest {
  readonly exchange: number;
  /** Token that identifies the caller's request in the recorded history. */
  readonly request: string;
  /** Virtual time in milliseconds at which the agent aborts the exchange. */
  readonly deadline: number;
}

/** Result of an exchange as the agent sees it; `begun` is false when the request provably did not start. */
export type BackendResult =
  | {readonly kind: 'finished'; readonly status: number; readonly body: string}
  | {readonly kind: 'failed'; readonly begun: boolean; readonly detail: string};

interface OpenExchange extends BackendRequest {
  readonly name: string;
  readonly onResult: (result: BackendResult) => void;
}

/** Backend server of one host. It records each exchange that runs, for comparison with the answers to callers. */
export class SimulatedBackend {
  /** Called for each exchange at each injection point. */
  listener: InteractionListener = () => {};
  /** Whether the backend server runs; while it is down, it refuses connections. */
  isAlive = true;
  /** Whether the backend server announces that it is draining. */
  draining = false;
  /** Virtual time in milliseconds until which each exchange that ends is reset or answered with status 500. */
  failingUntil = 0;
  #exchangeCount = 0;
  #killCount = 0;
  readonly #openExchanges = new Map<string, OpenExchange>();
  /** Exchanges that were aborted before they reached the backend server, as `<agent.life>.<exchange>`. */
  readonly #abortedBeforeArrival = new Set<string>();

  constructor(
    private readonly simulation: Simulation,
    private readonly host: string,
    /** Shortest and longest duration of an exchange. */
    private readonly serviceMs: readonly [number, number],
  ) {}

  /** Starts an exchange. Its result is dropped when the agent restarts in the meantime. */
  open(
    agent: SimulatedProcess,
    request: BackendRequest,
    onResult: (r: BackendResult) => void,
  ): void {
    const delivery = createDelivery();
    const notifyListener = (point: InjectionPoint) =>
      this.listener({
        step: 'backend:exchange',
        point,
        from: agent.name,
        to: this.host,
        delivery,
      });
    const agentLife = agent.life;
    // The agent and its backend server run on one host; each direction takes 0.2 ms.
    const settle = (result: BackendResult) =>
      this.simulation.schedule(0.2, () => {
        if (agent.life !== agentLife) return;
        agent.deliver(() => {
          if (agent.life !== agentLife) return;
          onResult(result);
          notifyListener('after-answer');
        });
      });
    notifyListener('before-send');
    if (!agent.isAlive || agent.life !== agentLife) return;
    const name = `${this.host}.${agent.life}.${this.#killCount}.${request.exchange}.${this.#exchangeCount++}`;
    this.simulation.schedule(0.2 + delivery.delayMs, () => {
      notifyListener('before-effect');
      if (!agent.isAlive || agent.life !== agentLife) return;
      if (this.#abortedBeforeArrival.delete(`${agentLife}.${request.exchange}`)) return;
      if (!this.isAlive || delivery.lost) {
        settle({kind: 'failed', begun: false, detail: 'connection refused'});
        return;
      }
      this.simulation.record({
        kind: 'exchange-started',
        request: request.request,
        host: this.host,
        exchange: name,
      });
      this.#openExchanges.set(name, {...request, name, onResult: settle});
      const [minServiceMs, maxServiceMs] = this.serviceMs;
      this.simulation.schedule(this.simulation.random.between(minServiceMs, maxServiceMs), () => {
        if (!this.#openExchanges.has(name)) return;
        const isFailing = this.failingUntil > this.simulation.now;
        if (isFailing && this.simulation.random.next() < 0.5) {
          this.#failExchange(name, 'killed', 'reset by the backend server');
          return;
        }
        const padding = 'x'.repeat(Math.floor(this.simulation.random.between(0, 2_000)));
        const body = `${request.request}|${name}|${padding}`;
        this.#openExchanges.delete(name);
        this.simulation.record({kind: 'exchange-ended', exchange: name, body});
        notifyListener('before-answer');
        if (delivery.lost) settle({kind: 'failed', begun: true, detail: 'connection reset'});
        else settle({kind: 'finished', status: isFailing ? 500 : 200, body});
      });
    });
  }

  /** Aborts an exchange whose connection the agent closed, also one that has not reached the backend server yet. */
  abort(agent: SimulatedProcess, exchange: number): void {
    const isOpen = [...this.#openExchanges.values()].some(
      candidate => candidate.exchange === exchange,
    );
    if (!isOpen) this.#abortedBeforeArrival.add(`${agent.life}.${exchange}`);
    for (const open of this.#openExchanges.values()) {
      if (open.exchange !== exchange) continue;
      this.#openExchanges.delete(open.name);
      const late = this.simulation.now >= open.deadline;
      this.simulation.record({
        kind: 'exchange-ended',
        exchange: open.name,
        cut: late ? 'deadline' : 'aborted',
      });
    }
  }

  /** Fails all open exchanges; called when the agent ends and its connections close. */
  endAllExchanges(): void {
    for (const name of [...this.#openExchanges.keys()])
      this.#failExchange(name, 'killed', 'agent gone');
  }

  /** Kills the backend server and restarts it after a time; open exchanges fail. */
  kill(durationMs: number): void {
    this.isAlive = false;
    this.#killCount++;
    for (const name of [...this.#openExchanges.keys()])
      this.#failExchange(name, 'killed', 'connection reset');
    this.simulation.schedule(durationMs, () => (this.isAlive = true));
  }

  #failExchange(name: string, cut: 'killed', detail: string): void {
    const open = this.#openExchanges.get(name);
    if (!open) return;
    this.#openExchanges.delete(name);
    this.simulation.record({kind: 'exchange-ended', exchange: name, cut});
    open.onResult({kind: 'failed', begun: true, detail});
  }
}

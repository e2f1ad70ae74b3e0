import {createCarriage, type InteractionListener, type Point} from './interaction.js';
import type {SimulatedProcess} from './simulated-process.js';
import type {Simulation} from './simulation.js';

/** A request as it reaches the backend server. */
export interface BackendRequest {
  readonly exchange: number;
  /** Token of the caller's request. */
  readonly request: string;
  /** Time at which the agent gives up. */
  readonly deadline: number;
}

/** How an exchange ended for the agent. */
export type BackendResult =
  | {readonly kind: 'finished'; readonly status: number; readonly body: string}
  | {readonly kind: 'failed'; readonly begun: boolean; readonly detail: string};

interface OpenExchange extends BackendRequest {
  readonly name: string;
  readonly onResult: (result: BackendResult) => void;
}

/** Backend server of one host. It records what really ran. */
export class SimulatedBackend {
  listener: InteractionListener = () => {};
  alive = true;
  draining = false;
  failingUntil = 0;
  #serial = 0;
  #life = 0;
  readonly #open = new Map<string, OpenExchange>();
  /** Exchanges by agent life that were aborted before they reached the backend server. */
  readonly #aborted = new Set<string>();

  constructor(
    private readonly simulation: Simulation,
    private readonly host: string,
    private readonly serviceMs: readonly [number, number],
  ) {}

  /** Opens an exchange for the present life of an agent. */
  open(
    agent: SimulatedProcess,
    request: BackendRequest,
    onResult: (r: BackendResult) => void,
  ): void {
    const carriage = createCarriage();
    const tell = (point: Point) =>
      this.listener({step: 'backend:exchange', point, from: agent.name, to: this.host, carriage});
    const agentLife = agent.life;
    const settle = (result: BackendResult) =>
      this.simulation.schedule(0.2, () => {
        if (agent.life !== agentLife) return;
        agent.deliver(() => {
          if (agent.life !== agentLife) return;
          onResult(result);
          tell('after-answer');
        });
      });
    tell('before-send');
    if (!agent.alive || agent.life !== agentLife) return;
    const name = `${this.host}.${agent.life}.${this.#life}.${request.exchange}.${this.#serial++}`;
    this.simulation.schedule(0.2 + carriage.delayMs, () => {
      tell('before-effect');
      if (!agent.alive || agent.life !== agentLife) return;
      if (this.#aborted.delete(`${agentLife}.${request.exchange}`)) return;
      if (!this.alive || carriage.lost) {
        settle({kind: 'failed', begun: false, detail: 'connection refused'});
        return;
      }
      this.simulation.record({
        kind: 'exchange-started',
        request: request.request,
        host: this.host,
        exchange: name,
      });
      this.#open.set(name, {...request, name, onResult: settle});
      const [low, high] = this.serviceMs;
      this.simulation.schedule(this.simulation.random.between(low, high), () => {
        if (!this.#open.has(name)) return;
        const failing = this.failingUntil > this.simulation.now;
        if (failing && this.simulation.random.next() < 0.5) {
          this.#cut(name, 'killed', 'reset by the backend server');
          return;
        }
        const filler = 'x'.repeat(Math.floor(this.simulation.random.between(0, 2_000)));
        const body = `${request.request}|${name}|${filler}`;
        this.#open.delete(name);
        this.simulation.record({kind: 'exchange-ended', exchange: name, body});
        tell('before-answer');
        if (carriage.lost) settle({kind: 'failed', begun: true, detail: 'connection reset'});
        else settle({kind: 'finished', status: failing ? 500 : 200, body});
      });
    });
  }

  /** Ends an exchange because the agent closed its connection. */
  abort(agent: SimulatedProcess, exchange: number): void {
    const open = [...this.#open.values()].some(candidate => candidate.exchange === exchange);
    if (!open) this.#aborted.add(`${agent.life}.${exchange}`);
    for (const open of this.#open.values()) {
      if (open.exchange !== exchange) continue;
      this.#open.delete(open.name);
      const late = this.simulation.now >= open.deadline;
      this.simulation.record({
        kind: 'exchange-ended',
        exchange: open.name,
        cut: late ? 'deadline' : 'aborted',
      });
    }
  }

  /** Ends all exchanges, as their connections close with the agent. */
  agentEnded(): void {
    for (const name of [...this.#open.keys()]) this.#cut(name, 'killed', 'agent gone');
  }

  /** Kills the backend server for a time. */
  kill(durationMs: number): void {
    this.alive = false;
    this.#life++;
    for (const name of [...this.#open.keys()]) this.#cut(name, 'killed', 'connection reset');
    this.simulation.schedule(durationMs, () => (this.alive = true));
  }

  #cut(name: string, cut: 'killed', detail: string): void {
    const open = this.#open.get(name);
    if (!open) return;
    this.#open.delete(name);
    this.simulation.record({kind: 'exchange-ended', exchange: name, cut});
    open.onResult({kind: 'failed', begun: true, detail});
  }
}

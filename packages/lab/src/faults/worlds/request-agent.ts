import {
  AgentExchanges,
  type AgentExchangesEffect,
  type AgentExchangesEvent,
  type Configuration,
  type DataMessage,
  type Resources,
} from '@chervilbeam/coordination';
import type {SimulatedBackend} from '../kernel/simulated-backend.js';
import {SimulatedProcess, type ProcessOptions} from '../kernel/simulated-process.js';
import type {Endpoint, SimulatedNetwork} from '../kernel/simulated-network.js';
import type {Simulation} from '../kernel/simulation.js';
import {createHello} from './hello.js';
import type {RequestMessage} from './request-entry.js';

/** Reducer of the exchanges of an agent; tests substitute faulty ones. */
export interface RequestAgentReducer {
  reduce(event: AgentExchangesEvent, at: number): readonly AgentExchangesEffect[];
}

/** Creates the reducer when an agent starts. */
export type RequestAgentReducerFactory = (agent: RequestAgent) => RequestAgentReducer;

const createAgentExchanges: RequestAgentReducerFactory = agent =>
  new AgentExchanges({host: agent.name, rack: 'rack', capacity: agent.capacity});

const url = 'http://127.0.0.1:9000';
const announceIntervalMs = 1_000;
/** Time without an announcement after which the agent considers the backend server gone. */
const announcementTimeoutMs = 3_000;

/** Simulated agent that runs only the reducer `AgentExchanges`, with the backend server of its host. */
export class RequestAgent extends SimulatedProcess implements Endpoint<RequestMessage> {
  /** Whether a graceful shutdown was requested. */
  draining = false;
  readonly #peers = new Set<string>();
  #reducer!: RequestAgentReducer;
  #lastAnnouncedAt = -Infinity;
  #isBackendAnnounced = false;

  constructor(
    simulation: Simulation,
    options: ProcessOptions,
    private readonly network: SimulatedNetwork<RequestMessage>,
    private readonly configuration: Configuration,
    readonly backend: SimulatedBackend,
    readonly services: readonly string[],
    readonly capacity: Resources,
    private readonly createReducer: RequestAgentReducerFactory = createAgentExchanges,
  ) {
    super(simulation, options);
    simulation.record({kind: 'host-capacity', host: this.name, capacity});
    this.#announcePeriodically();
  }

  peerUp(peer: Endpoint<RequestMessage>): void {
    this.#peers.add(peer.name);
    this.#apply({kind: 'peer-up', peer: peer.name, hello: createHello(peer)});
  }

  peerDown(peer: string): void {
    this.#peers.delete(peer);
    this.#apply({kind: 'peer-down', peer});
  }

  receive(
    peer: string,
    message: RequestMessage,
    body: Uint8Array | undefined,
    beforeEffects: () => void,
  ): void {
    const data = message as DataMessage;
    this.#apply({kind: 'message', peer, message: data, body}, beforeEffects);
  }

  /** Starts a graceful shutdown, as a termination signal does. */
  drain(): void {
    if (!this.isAlive || this.draining) return;
    this.draining = true;
    // A frozen process receives the signal when it resumes.
    this.deliver(() => {
      this.simulation.record({kind: 'shutdown-began', process: this.identity});
      this.simulation.record({kind: 'host-leaving', host: this.name});
      this.#apply({kind: 'drain'});
    });
  }

  /** Sets whether the backend server announces that it is draining. */
  setBackendDraining(draining: boolean): void {
    this.backend.draining = draining;
    this.simulation.record({kind: draining ? 'host-leaving' : 'host-returned', host: this.name});
  }

  protected boot(): void {
    if (this.draining && !this.backend.draining) {
      this.simulation.record({kind: 'host-returned', host: this.name});
    }
    this.draining = false;
    this.#isBackendAnnounced = false;
    this.#peers.clear();
    this.#reducer = this.createReducer(this);
    this.after(100, () => this.#apply({kind: 'configuration', configuration: this.configuration}));
  }

  protected tick(): void {
    if (
      this.#isBackendAnnounced &&
      this.simulation.now - this.#lastAnnouncedAt > announcementTimeoutMs
    ) {
      this.#isBackendAnnounced = false;
      this.#apply({kind: 'backend-lapsed', url});
    }
    this.#apply({kind: 'tick'});
  }

  protected onEnd(): void {
    this.backend.endAllExchanges();
    this.network.closeConnectionsOf(this.name);
  }

  #announcePeriodically(): void {
    this.simulation.schedule(announceIntervalMs, () => {
      if (this.backend.isAlive) {
        const {draining} = this.backend;
        this.deliver(() => {
          this.#lastAnnouncedAt = this.simulation.now;
          this.#isBackendAnnounced = true;
          const {slots} = this.capacity;
          const {services} = this;
          this.#apply({kind: 'backend-announced', url, services, slots, connections: 64, draining});
        });
      }
      this.#announcePeriodically();
    });
  }

  #apply(event: AgentExchangesEvent, beforeEffects?: () => void): void {
    const effects = this.#reducer.reduce(event, this.clock);
    this.executeEffects(effects, effect => this.#execute(effect), beforeEffects);
  }

  #execute(effect: AgentExchangesEffect): void {
    switch (effect.kind) {
      case 'send':
        this.network.send(this.name, effect.peer, effect.message, effect.body);
        break;
      case 'announce':
        for (const peer of this.#peers) this.network.send(this.name, peer, effect.message);
        break;
      case 'open-exchange':
        this.#openExchange(effect);
        break;
      case 'abort-exchange':
        this.backend.abort(this, effect.exchange);
        this.#apply({
          kind: 'exchange-failed',
          exchange: effect.exchange,
          begun: true,
          detail: 'aborted',
        });
        break;
      case 'drained':
        this.exit();
        break;
      default:
    }
  }

  #openExchange(effect: Extract<AgentExchangesEffect, {kind: 'open-exchange'}>): void {
    const {exchange} = effect;
    const request = effect.headers.find(([name]) => name === 'x-lab-request')?.[1] ?? effect.path;
    const deadline = this.simulation.now + effect.timeoutMs;
    let hasEnded = false;
    this.backend.open(this, {exchange, request, deadline}, result => {
      if (hasEnded) return;
      hasEnded = true;
      if (result.kind === 'failed') {
        const {begun, detail} = result;
        this.#apply({kind: 'exchange-failed', exchange, begun, detail});
        return;
      }
      const body = new TextEncoder().encode(result.body);
      const {status} = result;
      this.#apply({kind: 'exchange-finished', exchange, status, headers: [], body});
    });
    this.after(effect.timeoutMs, () => {
      if (hasEnded) return;
      hasEnded = true;
      this.backend.abort(this, exchange);
      this.#apply({kind: 'exchange-failed', exchange, begun: true, detail: 'deadline'});
    });
  }
}

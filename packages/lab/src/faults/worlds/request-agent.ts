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

/** A reducer of exchanges at an agent; tests pass broken ones. */
export interface AgentReducer {
  reduce(event: AgentExchangesEvent, at: number): readonly AgentExchangesEffect[];
}

/** Creates the reducer of one life of an agent. */
export type CreateAgentReducer = (agent: RequestAgent) => AgentReducer;

const createAgentExchanges: CreateAgentReducer = agent =>
  new AgentExchanges({host: agent.name, rack: 'rack', capacity: agent.capacity});

const url = 'http://127.0.0.1:9000';
const announceMs = 1_000;
const lapseMs = 3_000;

/** Agent that runs `AgentExchanges` alone, with its backend server. */
export class RequestAgent extends SimulatedProcess implements Endpoint<RequestMessage> {
  draining = false;
  readonly #peers = new Set<string>();
  #reducer!: AgentReducer;
  #announcedAt = -Infinity;
  #heard = false;

  constructor(
    simulation: Simulation,
    options: ProcessOptions,
    private readonly network: SimulatedNetwork<RequestMessage>,
    private readonly configuration: Configuration,
    readonly backend: SimulatedBackend,
    readonly services: readonly string[],
    readonly capacity: Resources,
    private readonly createReducer: CreateAgentReducer = createAgentExchanges,
  ) {
    super(simulation, options);
    simulation.record({kind: 'host-capacity', host: this.name, capacity});
    this.#announce();
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

  /** Tells the process to stop gracefully. */
  drain(): void {
    if (!this.alive || this.draining) return;
    this.draining = true;
    // A stopped process gets the signal after its wake.
    this.deliver(() => {
      this.simulation.record({kind: 'shutdown-began', process: this.identity});
      this.simulation.record({kind: 'host-leaving', host: this.name});
      this.#apply({kind: 'drain'});
    });
  }

  /** Lets the backend server announce that it is leaving, or that it stays. */
  setBackendDraining(draining: boolean): void {
    this.backend.draining = draining;
    this.simulation.record({kind: draining ? 'host-leaving' : 'host-returned', host: this.name});
  }

  protected boot(): void {
    if (this.draining && !this.backend.draining) {
      this.simulation.record({kind: 'host-returned', host: this.name});
    }
    this.draining = false;
    this.#heard = false;
    this.#peers.clear();
    this.#reducer = this.createReducer(this);
    this.after(100, () => this.#apply({kind: 'configuration', configuration: this.configuration}));
  }

  protected tick(): void {
    if (this.#heard && this.simulation.now - this.#announcedAt > lapseMs) {
      this.#heard = false;
      this.#apply({kind: 'backend-lapsed', url});
    }
    this.#apply({kind: 'tick'});
  }

  protected ended(): void {
    this.backend.agentEnded();
    this.network.processEnded(this.name);
  }

  #announce(): void {
    this.simulation.schedule(announceMs, () => {
      if (this.backend.alive) {
        const {draining} = this.backend;
        this.deliver(() => {
          this.#announcedAt = this.simulation.now;
          this.#heard = true;
          const {slots} = this.capacity;
          const {services} = this;
          this.#apply({kind: 'backend-announced', url, services, slots, connections: 64, draining});
        });
      }
      this.#announce();
    });
  }

  #apply(event: AgentExchangesEvent, beforeEffects?: () => void): void {
    const effects = this.#reducer.reduce(event, this.clock);
    this.carryOut(effects, effect => this.#execute(effect), beforeEffects);
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
        this.#open(effect);
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

  #open(effect: Extract<AgentExchangesEffect, {kind: 'open-exchange'}>): void {
    const {exchange} = effect;
    const request = effect.headers.find(([name]) => name === 'x-lab-request')?.[1] ?? effect.path;
    const deadline = this.simulation.now + effect.timeoutMs;
    let ended = false;
    this.backend.open(this, {exchange, request, deadline}, result => {
      if (ended) return;
      ended = true;
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
      if (ended) return;
      ended = true;
      this.backend.abort(this, exchange);
      this.#apply({kind: 'exchange-failed', exchange, begun: true, detail: 'deadline'});
    });
  }
}

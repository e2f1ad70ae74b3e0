import type {Configuration, Workload} from '@chervilbeam/coordination';
import type {HistoryEvent} from '../../histories/history-event.js';
import type {InteractionListener} from '../kernel/interaction.js';
import {SimulatedBackend} from '../kernel/simulated-backend.js';
import {SimulatedNetwork} from '../kernel/simulated-network.js';
import {Simulation} from '../kernel/simulation.js';
import {BaseWorld} from './base-world.js';
import {RequestAgent, type RequestAgentReducerFactory} from './request-agent.js';
import {
  RequestEntry,
  type RequestEntryReducerFactory,
  type RequestMessage,
} from './request-entry.js';

const answerKinds = ['reply', 'rejected', 'failed'];
const tickMs = 10;
const loadUntilMs = 24_000;
const faultsOverMs = 26_000;
const endMs = 45_000;

/** Steps of the request protocols, as pairs of protocol (as named in the design document) and step. */
export const requestSteps = [
  ['request', 'dispatch'],
  ['request', 'backend:exchange'],
  ['forward', 'forward'],
  ['recovery query', 'recover'],
  ['announce and drain', 'announce'],
  ['announce and drain', 'summary'],
  ['announce and drain', 'heartbeat'],
] as const;

/** Reducers that replace the production ones, for tests. */
export interface RequestWorldOptions {
  readonly createEntryReducer?: RequestEntryReducerFactory;
  readonly createAgentReducer?: RequestAgentReducerFactory;
}

/** Three entries and three hosts in two regions that serve callers while an entry and hosts drain and return. */
export class RequestWorld extends BaseWorld<RequestMessage> {
  readonly hosts = ['h1', 'h2', 'h3'];
  protected readonly network: SimulatedNetwork<RequestMessage>;
  readonly #entries: RequestEntry[] = [];
  readonly #agents: RequestAgent[] = [];
  #requestCount = 0;

  constructor(seed: number, options: RequestWorldOptions = {}) {
    super(new Simulation(seed));
    const {simulation} = this;
    this.network = new SimulatedNetwork(simulation, {
      dispatch: answerKinds,
      forward: answerKinds,
      recover: ['recovered'],
    });
    const places = [
      ['1', 'a', 'r1'],
      ['2', 'b', 'r1'],
      ['3', 'c', 'r2'],
    ] as const;
    for (const [number, dataCentre, region] of places) {
      const processOptions = {dataCentre, region, tickMs};
      const entry = new RequestEntry(
        simulation,
        {...processOptions, name: `e${number}`, role: 'entry'},
        this.network,
        configuration,
        options.createEntryReducer,
      );
      const host = `h${number}`;
      const backend = new SimulatedBackend(simulation, host, [5, 400]);
      const agent = new RequestAgent(
        simulation,
        {...processOptions, name: host, role: 'agent'},
        this.network,
        configuration,
        backend,
        region === 'r1' ? ['quotes'] : ['quotes', 'register'],
        {processors: 16_000, memoryMb: 60_000, accelerators: 0, slots: 3},
        options.createAgentReducer,
      );
      this.#entries.push(entry);
      this.#agents.push(agent);
      this.processes.set(entry.name, entry).set(agent.name, agent);
    }
    this.#connect();
  }

  override listen(listener: InteractionListener): void {
    super.listen(listener);
    for (const agent of this.#agents) agent.backend.listener = listener;
  }

  killHost(host: string, durationMs: number): void {
    this.#getAgent(host)?.backend.kill(durationMs);
  }

  failHost(host: string, durationMs: number): void {
    const agent = this.#getAgent(host);
    if (agent) agent.backend.failingUntil = this.simulation.now + durationMs;
  }

  raceOperators(): boolean {
    return false;
  }

  cancel(): boolean {
    return this.#entries.filter(entry => entry.isAlive && entry.abandonOldest()).length > 0;
  }

  run(): readonly HistoryEvent[] {
    const {simulation} = this;
    for (const process of this.processes.values()) process.start();
    const [h1, h2] = this.#agents;
    const e2 = this.#entries[1]!;
    simulation.schedule(1_500, () => this.#submitPeriodically());
    simulation.schedule(6_000, () => h2!.setBackendDraining(true));
    simulation.schedule(15_000, () => h2!.setBackendDraining(false));
    simulation.schedule(9_000, () => h1!.drain());
    simulation.schedule(14_000, () => h1!.start());
    simulation.schedule(17_000, () => e2.drain());
    simulation.schedule(22_000, () => e2.start());
    for (let at = 2_500; at < faultsOverMs; at += 1_500) {
      simulation.schedule(at, () => this.#cutRandomConnection());
    }
    simulation.schedule(faultsOverMs, () => simulation.record({kind: 'faults-over'}));
    simulation.runUntil(endMs);
    simulation.record({kind: 'history-ended'});
    return simulation.history;
  }

  #connect(): void {
    for (const [index, entry] of this.#entries.entries()) {
      for (const agent of this.#agents) {
        if (agent.options.region === entry.options.region) this.network.link(entry, agent, 1.5);
      }
      for (const other of this.#entries.slice(index + 1)) {
        const latencyMs = other.options.region === entry.options.region ? 1.5 : 30;
        this.network.link(entry, other, latencyMs);
      }
    }
  }

  /** Submits a request and schedules the next one 10 to 90 ms later, about 20 requests a second. */
  #submitPeriodically(): void {
    const {simulation} = this;
    const {random} = simulation;
    if (simulation.now > loadUntilMs) return;
    const accepting = this.#entries.filter(
      entry => entry.isAlive && (!entry.draining || simulation.now < entry.drainingSince + 1_000),
    );
    if (accepting.length > 0) {
      random
        .pick(accepting)
        .submit(
          `q${++this.#requestCount}`,
          random.next() < 0.35 ? 'register' : 'quotes',
          random.next() < 0.5,
          random.between(200, 3_000),
          random.next() < 0.05 ? random.between(1, 300) : undefined,
        );
    }
    simulation.schedule(random.between(10, 90), () => this.#submitPeriodically());
  }

  /** Cuts a random connection for up to 0.6 s, so that recovery queries occur during the whole run. */
  #cutRandomConnection(): void {
    const {random} = this.simulation;
    const entry = random.pick(this.#entries);
    const agents = this.#agents.filter(a => a.options.region === entry.options.region);
    this.network.cut(entry.name, random.pick(agents).name, random.between(50, 600), 0);
  }

  #getAgent(host: string): RequestAgent | undefined {
    return this.#agents.find(agent => agent.name === host);
  }
}

function createService(name: string): Workload {
  return {
    kind: 'service',
    name,
    team: 'team',
    urgency: 'urgent',
    grant: {slots: 2, processors: 1_000},
    resources: {processors: 1_000, memoryMb: 1_000, accelerators: 0, slots: 1},
    tasks: 3,
  };
}

const configuration: Configuration = {
  version: 1,
  workloads: new Map(['quotes', 'register'].map(name => [name, createService(name)])),
  teams: new Map(),
  drains: new Set(),
};

import {
  AgentExchanges,
  EntryRequests,
  type AgentExchangesEffect,
  type AgentExchangesEvent,
  type AgentExchangesSettings,
  type CallerAnswer,
  type CallerRequest,
  type Configuration,
  type EntryRequestsEffect,
  type EntryRequestsEvent,
  type EntryRequestsSettings,
  type Hello,
  type Role,
  type RequestEvent,
} from '@chervilbeam/coordination';
import {ModelBackend, type BackendOptions} from './model-backend.js';
import {ModelNetwork, type NetworkOptions} from './model-network.js';
import type {VirtualLoop} from './virtual-loop.js';

/** Name and location of a process. */
export interface Place {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
}

/** Options of a `RequestFleet`. */
export interface FleetOptions {
  readonly seed: number;
  readonly entries: readonly Place[];
  readonly hosts: readonly Place[];
  readonly configuration: Configuration;
  readonly backend: BackendOptions;
  readonly network?: Partial<NetworkOptions>;
  readonly entrySettings?: Partial<EntryRequestsSettings>;
  readonly agentSettings?: Partial<AgentExchangesSettings>;
  /** Whether to measure the time spent in the reducers; the measured time is not deterministic. */
  readonly measureCost?: boolean;
  /** Called with each event that a process records for the timeline, and its virtual time in milliseconds. */
  readonly onRecord?: (process: string, event: RequestEvent, at: number) => void;
}

interface EntryNode {
  readonly place: Place;
  reducer: EntryRequests;
  hello: Hello;
  isAlive: boolean;
  deferredEvents: Array<() => void> | undefined;
}

interface AgentNode extends Omit<EntryNode, 'reducer'> {
  reducer: AgentExchanges;
  readonly backend: ModelBackend;
}

const tickIntervalMs = 10;
const announceIntervalMs = 1000;

/** Runs the production reducers of entries and agents over a modelled network with modelled backend servers. */
export class RequestFleet {
  readonly network: ModelNetwork;
  /** Wall-clock time spent in the reducers, in nanoseconds; 0 without `measureCost`. */
  costNs = 0;
  /** Overhead of the timer, which is subtracted from each measurement. */
  private readonly timerOverheadNs: number;
  /** Sums of the counters of all processes, by name. */
  readonly counters = new Map<string, number>();
  private readonly entries = new Map<string, EntryNode>();
  private readonly agents = new Map<string, AgentNode>();
  private readonly callers = new Map<string, (answer: CallerAnswer) => void>();
  private readonly drained = new Set<string>();
  private lastCallerId = 0;
  private incarnation = 100;

  constructor(
    readonly loop: VirtualLoop,
    private readonly options: FleetOptions,
  ) {
    this.timerOverheadNs = options.measureCost ? measureTimerNs() : 0;
    this.network = new ModelNetwork(loop, options.network);
    for (const place of options.entries) this.addEntry(place);
    for (const place of options.hosts) this.addAgent(place);
    for (const name of [...this.entries.keys(), ...this.agents.keys()]) this.connectAll(name);
    this.configure(options.configuration);
    loop.every(tickIntervalMs, () => this.tick());
    loop.every(announceIntervalMs, () => this.announceBackends());
    this.announceBackends();
  }

  /** Sends a caller's request to an entry. The returned function cancels it, as a disconnecting caller does. */
  call(
    entry: string,
    request: Omit<CallerRequest, 'kind' | 'caller'>,
    done: (answer: CallerAnswer) => void,
  ): () => void {
    const caller = ++this.lastCallerId;
    this.callers.set(`${entry}#${caller}`, done);
    this.handleEntryEvent(entry, {kind: 'caller-request', caller, ...request});
    return () => {
      if (this.callers.delete(`${entry}#${caller}`))
        this.handleEntryEvent(entry, {kind: 'caller-gone', caller});
    };
  }

  /** Sends a configuration to every process. */
  configure(configuration: Configuration): void {
    for (const name of this.entries.keys())
      this.handleEntryEvent(name, {kind: 'configuration', configuration});
    for (const name of this.agents.keys())
      this.handleAgentEvent(name, {kind: 'configuration', configuration});
  }

  /** Returns the backend server of a host; throws a `TypeError` for an unknown host. */
  getBackendOrThrow(host: string): ModelBackend {
    return this.getAgent(host).backend;
  }

  /** Returns the reducer of an entry; throws a `TypeError` for an unknown entry. */
  getEntryReducerOrThrow(name: string): EntryRequests {
    return this.entries.get(name)!.reducer;
  }

  /** Returns whether a process has reported that its drain is complete. */
  isDrained(name: string): boolean {
    return this.drained.has(name);
  }

  /** Starts the graceful shutdown of a process. */
  drain(name: string): void {
    if (this.entries.has(name)) this.handleEntryEvent(name, {kind: 'drain'});
    else this.handleAgentEvent(name, {kind: 'drain'});
  }

  /** Kills a process, and with it all its connections. */
  kill(name: string): void {
    const node = this.entries.get(name) ?? this.getAgent(name);
    node.isAlive = false;
    this.network.cutAll(name);
  }

  /**
   * Restarts a killed process with empty state and a new incarnation. It receives the configuration of the options, also
   * after a later `configure`.
   */
  restart(name: string): void {
    const entry = this.entries.get(name);
    const {configuration} = this.options;
    if (entry) {
      entry.hello = this.getHello('entry', entry.place);
      entry.reducer = this.createEntryReducer(entry.place, entry.hello.incarnation);
      entry.isAlive = true;
      this.addToNetwork(entry, name);
      this.handleEntryEvent(name, {kind: 'configuration', configuration});
    } else {
      const agent = this.getAgent(name);
      agent.hello = this.getHello('agent', agent.place);
      agent.reducer = this.createAgentReducer(agent.place);
      agent.isAlive = true;
      this.addToNetwork(agent, name);
      this.handleAgentEvent(name, {kind: 'configuration', configuration});
      this.announceBackend(agent);
    }
    this.connectAll(name);
  }

  /** Pauses a process: its events are deferred until `resume`, and its ticks are dropped. */
  pause(name: string): void {
    const node = this.entries.get(name) ?? this.getAgent(name);
    node.deferredEvents ??= [];
  }

  /** Resumes a paused process, which handles the deferred events. */
  resume(name: string): void {
    const node = this.entries.get(name) ?? this.getAgent(name);
    const waiting = node.deferredEvents ?? [];
    node.deferredEvents = undefined;
    for (const run of waiting) run();
  }

  /** Connects an entry to all entries and to the agents of its region, or an agent to the entries of its region. */
  connectAll(name: string): void {
    const node = this.entries.get(name) ?? this.getAgent(name);
    for (const other of this.entries.values()) {
      if (other.place.name === name || !other.isAlive) continue;
      const isAgent = this.agents.has(name);
      if (isAgent && other.place.region !== node.place.region) continue;
      this.network.connect(name, other.place.name);
    }
    if (!this.entries.has(name)) return;
    for (const agent of this.agents.values()) {
      if (agent.isAlive && agent.place.region === node.place.region)
        this.network.connect(agent.place.name, name);
    }
  }

  /** Returns the sum of the slot time of all backend servers, in milliseconds. */
  getBusyMs(): number {
    let busyMs = 0;
    for (const agent of this.agents.values()) busyMs += agent.backend.busyMs;
    return busyMs;
  }

  /** Returns the sum of a counter over all processes. */
  getCount(name: string): number {
    return this.counters.get(name) ?? 0;
  }

  private addEntry(place: Place): void {
    const hello = this.getHello('entry', place);
    const reducer = this.createEntryReducer(place, hello.incarnation);
    const node: EntryNode = {place, hello, reducer, isAlive: true, deferredEvents: undefined};
    this.entries.set(place.name, node);
    this.addToNetwork(node, place.name);
  }

  private addAgent(place: Place): void {
    const hello = this.getHello('agent', place);
    const {backend: options, seed} = this.options;
    const url = `model:${place.name}`;
    const backendSeed = seed * 1009 + this.agents.size;
    const backend = new ModelBackend(this.loop, url, options, backendSeed, event =>
      this.handleAgentEvent(place.name, event),
    );
    const reducer = this.createAgentReducer(place);
    const node: AgentNode = {
      place,
      hello,
      reducer,
      isAlive: true,
      deferredEvents: undefined,
      backend,
    };
    this.agents.set(place.name, node);
    this.addToNetwork(node, place.name);
  }

  private addToNetwork(node: EntryNode | AgentNode, name: string): void {
    const isEntry = this.entries.has(name);
    const apply = (event: EntryRequestsEvent & AgentExchangesEvent) =>
      isEntry ? this.handleEntryEvent(name, event) : this.handleAgentEvent(name, event);
    this.network.add({
      hello: node.hello,
      peerUp: (peer, hello) => apply({kind: 'peer-up', peer, hello}),
      peerDown: peer => apply({kind: 'peer-down', peer}),
      receive: (peer, message, body) => {
        const {kind} = message;
        if (kind === 'announce') this.handleEntryEvent(name, {kind, peer, message});
        else if (kind === 'heartbeat') this.handleEntryEvent(name, {kind, peer, message});
        else if (kind === 'summary') this.handleEntryEvent(name, {kind, peer, message});
        else
          apply({kind: 'message', peer, message, body} as EntryRequestsEvent & AgentExchangesEvent);
      },
    });
  }

  private createEntryReducer(place: Place, incarnation: number): EntryRequests {
    const {seed, entrySettings} = this.options;
    const settings = {...place, incarnation, seed: seed + incarnation, ...entrySettings};
    return new EntryRequests(settings);
  }

  private createAgentReducer(place: Place): AgentExchanges {
    const {backend, agentSettings} = this.options;
    const capacity = {processors: 16000, memoryMb: 60000, accelerators: 0, slots: backend.slots};
    return new AgentExchanges({host: place.name, rack: 'rack', capacity, ...agentSettings});
  }

  private getHello(role: Role, place: Place): Hello {
    const {name, dataCentre, region} = place;
    const incarnation = ++this.incarnation;
    const rest = {protocol: 1, deployment: 'model', purpose: 'data', peers: []} as const;
    return {kind: 'hello', role, name, dataCentre, region, incarnation, configVersion: 1, ...rest};
  }

  private tick(): void {
    for (const [name, node] of this.entries)
      if (node.isAlive) this.handleEntryEvent(name, {kind: 'tick'});
    for (const [name, node] of this.agents)
      if (node.isAlive) this.handleAgentEvent(name, {kind: 'tick'});
  }

  private announceBackends(): void {
    for (const agent of this.agents.values()) this.announceBackend(agent);
  }

  private announceBackend(agent: AgentNode): void {
    const {isAnnouncing, draining, url, options} = agent.backend;
    if (!agent.isAlive || !isAnnouncing) return;
    const {services, slots, connections} = options;
    const announcement = {url, services, slots, connections, draining};
    this.handleAgentEvent(agent.place.name, {kind: 'backend-announced', ...announcement});
  }

  private handleEntryEvent(name: string, event: EntryRequestsEvent): void {
    const node = this.entries.get(name)!;
    if (!node.isAlive) return;
    if (node.deferredEvents) {
      if (event.kind !== 'tick') node.deferredEvents.push(() => this.handleEntryEvent(name, event));
      return;
    }
    for (const effect of this.runMeasured(() => node.reducer.reduce(event, this.loop.now()))) {
      this.applyEntryEffect(name, effect);
    }
  }

  private handleAgentEvent(name: string, event: AgentExchangesEvent): void {
    const node = this.getAgent(name);
    if (!node.isAlive) return;
    if (node.deferredEvents) {
      if (event.kind !== 'tick') node.deferredEvents.push(() => this.handleAgentEvent(name, event));
      return;
    }
    for (const effect of this.runMeasured(() => node.reducer.reduce(event, this.loop.now()))) {
      this.applyAgentEffect(node, effect);
    }
  }

  private runMeasured<Result>(run: () => Result): Result {
    if (!this.options.measureCost) return run();
    const start = process.hrtime.bigint();
    const result = run();
    this.costNs += Number(process.hrtime.bigint() - start) - this.timerOverheadNs;
    return result;
  }

  private applyEntryEffect(name: string, effect: EntryRequestsEffect): void {
    switch (effect.kind) {
      case 'send':
        return this.network.send(name, effect.peer, effect.message, effect.body);
      case 'answer': {
        const key = `${name}#${effect.caller}`;
        const done = this.callers.get(key);
        this.callers.delete(key);
        return done?.(effect);
      }
      case 'summary':
        for (const other of this.entries.keys()) {
          if (other === name || (effect.to ?? other) !== other) continue;
          this.network.send(name, other, effect.message);
        }
        return;
      default:
        return this.applyCommonEffect(name, effect);
    }
  }

  private applyAgentEffect(node: AgentNode, effect: AgentExchangesEffect): void {
    const {name} = node.place;
    switch (effect.kind) {
      case 'send':
        return this.network.send(name, effect.peer, effect.message, effect.body);
      case 'open-exchange':
        return node.backend.open(effect);
      case 'abort-exchange':
        // Not modelled: an aborted exchange occupies the backend server until its end.
        return;
      case 'announce':
        for (const entry of this.entries.keys()) this.network.send(name, entry, effect.message);
        return;
      default:
        return this.applyCommonEffect(name, effect);
    }
  }

  private applyCommonEffect(
    name: string,
    effect: Exclude<EntryRequestsEffect | AgentExchangesEffect, {kind: 'send' | 'announce'}>,
  ): void {
    if (effect.kind === 'count')
      this.counters.set(effect.name, this.getCount(effect.name) + effect.by);
    else if (effect.kind === 'drained') this.drained.add(name);
    else if (effect.kind === 'record') this.options.onRecord?.(name, effect.event, this.loop.now());
  }

  private getAgent(name: string): AgentNode {
    return this.agents.get(name)!;
  }
}

/** Returns the median duration that the timer measures for an empty interval. */
function measureTimerNs(): number {
  const samples: number[] = [];
  for (let i = 0; i < 10_001; i += 1) {
    const start = process.hrtime.bigint();
    samples.push(Number(process.hrtime.bigint() - start));
  }
  samples.sort((a, b) => a - b);
  return samples[5000]!;
}

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

/** Place of a process. */
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
  /** Measures the time in the reducers, for experiments on cost; the result is not deterministic. */
  readonly measureCost?: boolean;
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

/** Entries and agents, the real reducers, over a modelled network with modelled backend servers. */
export class RequestFleet {
  readonly network: ModelNetwork;
  /** Real time spent in the reducers, in nanoseconds, if it is measured. */
  costNs = 0;
  /** What a measurement of nothing shows; it is taken off each measurement. */
  private readonly timerOverheadNs: number;
  /** Counters of all processes. */
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

  /** Sends a request of a caller to an entry; returns a function by which the caller gives up. */
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

  /** Gives a configuration to every process. */
  configure(configuration: Configuration): void {
    for (const name of this.entries.keys())
      this.handleEntryEvent(name, {kind: 'configuration', configuration});
    for (const name of this.agents.keys())
      this.handleAgentEvent(name, {kind: 'configuration', configuration});
  }

  /** Backend server of a host. */
  getBackendOrThrow(host: string): ModelBackend {
    return this.getAgent(host).backend;
  }

  /** Reducer of an entry. */
  getEntryOrThrow(name: string): EntryRequests {
    return this.entries.get(name)!.reducer;
  }

  /** Whether a process has reported that it is drained. */
  isDrained(name: string): boolean {
    return this.drained.has(name);
  }

  /** Tells a process to stop gracefully. */
  drain(name: string): void {
    if (this.entries.has(name)) this.handleEntryEvent(name, {kind: 'drain'});
    else this.handleAgentEvent(name, {kind: 'drain'});
  }

  /** Ends a process at once. */
  kill(name: string): void {
    const node = this.entries.get(name) ?? this.getAgent(name);
    node.isAlive = false;
    this.network.cutAll(name);
  }

  /** Starts a process again with an empty state and another incarnation. */
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

  /** Stops a process from handling events; they wait until `resume`. */
  pause(name: string): void {
    const node = this.entries.get(name) ?? this.getAgent(name);
    node.deferredEvents ??= [];
  }

  /** Lets a paused process handle what has waited. */
  resume(name: string): void {
    const node = this.entries.get(name) ?? this.getAgent(name);
    const waiting = node.deferredEvents ?? [];
    node.deferredEvents = undefined;
    for (const run of waiting) run();
  }

  /** Connects a process to all that it should be connected to. */
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

  /** Sum of the slot time that all backend servers have spent. */
  getBusyMs(): number {
    let busyMs = 0;
    for (const agent of this.agents.values()) busyMs += agent.backend.busyMs;
    return busyMs;
  }

  /** Value of a counter over all processes. */
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

/** Median of what the timer shows for an empty interval. */
function measureTimerNs(): number {
  const samples: number[] = [];
  for (let i = 0; i < 10_001; i += 1) {
    const start = process.hrtime.bigint();
    samples.push(Number(process.hrtime.bigint() - start));
  }
  samples.sort((a, b) => a - b);
  return samples[5000]!;
}

import {
  Jitter,
  type ConfigurationEffect,
  type ConfigurationOperation,
} from '@chervilbeam/coordination';
import {FleetProcess, type ConfirmedEffect} from './fleet-process.js';
import {FleetStore} from './fleet-store.js';
import {FleetTraffic, type ProcessLocation} from './fleet-traffic.js';
import {VirtualTime} from './virtual-time.js';

/** Options of `ConfigurationFleet`. */
export interface FleetOptions {
  readonly dataCentres: readonly ProcessLocation[];
  /** Number of entries in each data centre; 2 when absent. */
  readonly entriesPerDataCentre?: number;
  /** Number of agents in each data centre; 3 when absent. */
  readonly agentsPerDataCentre?: number;
  /** Seed of all random choices; 1 when absent. */
  readonly seed?: number;
  /** Time in milliseconds that a watch waits at the store; the default of `ConfigurationView` when absent. */
  readonly watchWaitMs?: number;
  /** Number of changes in the head at which it is compacted; the default of `ConfigurationView` when absent. */
  readonly compactAtChanges?: number;
  /** Interval of each process's ticks; 100 ms when absent. */
  readonly tickMs?: number;
  /** Whether the compacting entry is in the last data centre instead of the first. */
  readonly isOwnerRemote?: boolean;
}

/** A confirmed plan with its outcome; times are virtual milliseconds. */
export interface FleetConfirmation {
  readonly planId: string;
  readonly startedAt: number;
  readonly finishedAt: number;
  readonly answer: ConfirmedEffect;
}

const defaultTickIntervalMs = 100;
/** Time from the restart of a process until it connects to its peers. */
const reconnectDelayMs = 250;

/** Data centres of a deployment of today's size. The store is in the first data centre. */
export const currentDataCentres: readonly ProcessLocation[] = [
  {region: 'vestland', dataCentre: 'vestland-1'},
  {region: 'vestland', dataCentre: 'vestland-2'},
  {region: 'austland', dataCentre: 'austland-1'},
];

/** Returns data centres spread evenly over regions; 24 over 7 is the size expected in two years. */
export function createDataCentres(count: number, regions: number): ProcessLocation[] {
  return Array.from({length: count}, (_, index) => ({
    region: `region-${index % regions}`,
    dataCentre: `data-centre-${index}`,
  }));
}

/** Runs the real configuration reducers of many processes over a simulated store and network, in virtual time. */
export class ConfigurationFleet {
  readonly time = new VirtualTime();
  readonly traffic = new FleetTraffic();
  readonly store: FleetStore;
  readonly processes: FleetProcess[] = [];
  /** Confirmations with an outcome, in the order in which they ended. */
  readonly confirmations: FleetConfirmation[] = [];
  readonly random: Jitter;
  readonly #processesByName = new Map<string, FleetProcess>();
  readonly #pendingConfirmations = new Map<
    string,
    {readonly planId: string; readonly startedAt: number}
  >();
  #nextRequest = 1;

  constructor(readonly options: FleetOptions) {
    const {dataCentres, seed = 1} = options;
    this.random = new Jitter(seed);
    this.store = new FleetStore(
      this.time,
      this.traffic,
      dataCentres[0] as ProcessLocation,
      this.random,
    );
    for (const location of dataCentres) this.#addDataCentre(location);
    for (const process of this.processes) this.#startTicks(process);
    for (const process of this.processes) this.#connect(process);
    this.#appointCompactor();
  }

  /** Entries that are alive. */
  get entries(): FleetProcess[] {
    return this.processes.filter(process => process.role === 'entry' && process.isAlive);
  }

  /** Runs for a duration in virtual milliseconds. */
  run(durationMs: number): void {
    this.time.runUntil(this.time.now + durationMs);
  }

  /** Confirms a plan through an entry; its base version is the one in force at the entry by default. */
  confirm(
    entry: FleetProcess,
    planId: string,
    operations: readonly ConfigurationOperation[],
    baseVersion = entry.version,
  ): void {
    const request = this.#nextRequest++;
    this.#pendingConfirmations.set(`${entry.name}#${entry.life}/${request}`, {
      planId,
      startedAt: this.time.now,
    });
    const plan = {planId, baseVersion, author: `operator of ${planId}`, operations};
    this.#applyEffects(entry, entry.reduce({kind: 'confirm', request, plan}));
  }

  /** Kills a process; its peers see their connections to it close after `detectionDelayMs`. */
  kill(process: FleetProcess, detectionDelayMs = 1): void {
    if (!process.isAlive) return;
    process.isAlive = false;
    const {life} = process;
    this.time.schedule(detectionDelayMs, () => {
      if (process.life !== life) return;
      for (const peer of process.connected)
        this.#notifyPeerDown(this.#processesByName.get(peer), process.name);
    });
    this.#appointCompactor();
  }

  /** Restarts a killed process with empty state; it connects to its peers after a delay. */
  restart(process: FleetProcess): void {
    if (process.isAlive) return;
    for (const peer of process.connected)
      this.#notifyPeerDown(this.#processesByName.get(peer), process.name);
    process.restart();
    this.time.schedule(reconnectDelayMs, () => this.#connect(process));
    this.#appointCompactor();
  }

  /** Whether every process that is alive has the latest version of the store's head in force. */
  isInForceEverywhere(): boolean {
    const version = this.store.getHead()?.version;
    return this.processes.every(process => !process.isAlive || process.version === version);
  }

  /**
   * Returns the virtual time since which every process that is alive has had the version in force; undefined while one
   * has not. Processes that started after `since` are ignored.
   */
  getInForceAt(version: number, since = this.time.now): number | undefined {
    let latest = 0;
    for (const process of this.processes) {
      if (!process.isAlive || process.startedAt > since) continue;
      const at = process.inForceTimeByVersion.get(version);
      if (at === undefined) return undefined;
      latest = Math.max(latest, at);
    }
    return latest;
  }

  /** Returns the sum of a counter over all processes. */
  getCount(name: string): number {
    return this.processes.reduce((sum, process) => sum + (process.counts.get(name) ?? 0), 0);
  }

  #addDataCentre(location: ProcessLocation): void {
    const {entriesPerDataCentre = 2, agentsPerDataCentre = 3, watchWaitMs} = this.options;
    for (const role of ['entry', 'agent'] as const) {
      const count = role === 'entry' ? entriesPerDataCentre : agentsPerDataCentre;
      for (let index = 0; index < count; index++) {
        // The last three digits are the index of the process, so that no two incarnations are equal.
        const incarnation = Math.floor(this.random.below(2 ** 30)) * 1000 + this.processes.length;
        const name = `${location.dataCentre}-${role}-${index}`;
        const {compactAtChanges} = this.options;
        const identity = {role, name, ...location, incarnation, seed: incarnation};
        const process = new FleetProcess(
          {...identity, watchWaitMs, compactAtChanges},
          () => this.time.now,
        );
        this.processes.push(process);
        this.#processesByName.set(name, process);
      }
    }
  }

  #startTicks(process: FleetProcess): void {
    const {tickMs = defaultTickIntervalMs} = this.options;
    const tick = () => {
      if (process.isAlive) this.#applyEffects(process, process.reduce({kind: 'tick'}));
      this.time.schedule(tickMs, tick);
    };
    this.time.schedule(this.random.below(tickMs), tick);
  }

  /** Connects an entry to all entries and to the agents of its region, or an agent to the entries of its region. */
  #connect(process: FleetProcess): void {
    for (const other of this.processes) {
      if (!process.isAlive || !other.isAlive || other === process) continue;
      if (process.connected.has(other.name) || !isLinked(process, other)) continue;
      process.connected.add(other.name);
      other.connected.add(process.name);
      const latency = this.traffic.getLatency(process, other);
      for (const [to, from] of [
        [process, other],
        [other, process],
      ] as const) {
        const hello = from.getHello();
        this.#scheduleOn(to, latency * 2, () =>
          to.reduce({kind: 'peer-up', peer: from.name, hello}),
        );
      }
    }
  }

  #notifyPeerDown(process: FleetProcess | undefined, peer: string): void {
    if (!process?.connected.delete(peer) || !process.isAlive) return;
    this.#applyEffects(process, process.reduce({kind: 'peer-down', peer}));
  }

  /** Makes the first or last entry that is alive the compactor, which is the owner of the first cell in production. */
  #appointCompactor(): void {
    const {entries} = this;
    const owner = this.options.isOwnerRemote ? entries.length - 1 : 0;
    entries.forEach((entry, index) => {
      this.#applyEffects(entry, entry.reduce({kind: 'compactor', isActive: index === owner}));
    });
  }

  #scheduleOn(
    process: FleetProcess,
    delayMs: number,
    reduce: () => readonly ConfigurationEffect[],
  ): void {
    const {life} = process;
    this.time.schedule(delayMs, () => {
      if (process.isAlive && process.life === life) this.#applyEffects(process, reduce());
    });
  }

  #applyEffects(process: FleetProcess, effects: readonly ConfigurationEffect[]): void {
    for (const effect of effects) this.#applyEffect(process, effect);
  }

  #applyEffect(process: FleetProcess, effect: ConfigurationEffect): void {
    const {life} = process;
    const caller = {
      ...getLocation(process),
      isReachable: () => process.isAlive && process.life === life && !process.isCutFromStore,
    };
    switch (effect.kind) {
      case 'watch':
        return this.store.watch(caller, effect, answer => {
          this.#scheduleOn(process, 0, () => {
            if (answer.result === 'ok') {
              const {value, revision} = answer;
              return process.reduce({kind: 'head', value, revision});
            }
            const kind = answer.result === 'quiet' ? 'watch-quiet' : 'watch-failed';
            return process.reduce({kind});
          });
        });
      case 'read-head':
      case 'swap-head':
      case 'read-snapshot':
      case 'write-snapshot':
        return this.store.call(caller, effect, answer => {
          const {request} = effect;
          this.#scheduleOn(process, 0, () =>
            process.reduce({kind: 'store-result', request, answer}),
          );
        });
      case 'send':
        return this.#send(process, effect);
      case 'confirmed':
        return this.#recordConfirmation(process, effect);
    }
  }

  #send(process: FleetProcess, effect: Extract<ConfigurationEffect, {kind: 'send'}>): void {
    const to = this.#processesByName.get(effect.peer);
    if (!to || !process.connected.has(to.name)) return;
    const message = structuredClone(effect.message);
    this.traffic.addMessage(process, to, message);
    const latency = this.traffic.getLatency(process, to);
    this.#scheduleOn(to, latency, () => {
      if (!to.connected.has(process.name)) return [];
      return message.kind === 'config'
        ? to.reduce({kind: 'config', peer: process.name, message})
        : to.reduce({kind: 'config-request', peer: process.name, message});
    });
  }

  #recordConfirmation(process: FleetProcess, answer: ConfirmedEffect): void {
    const key = `${process.name}#${process.life}/${answer.request}`;
    const pending = this.#pendingConfirmations.get(key);
    this.#pendingConfirmations.delete(key);
    if (pending) this.confirmations.push({...pending, finishedAt: this.time.now, answer});
  }
}

function getLocation(process: FleetProcess): ProcessLocation {
  return {region: process.region, dataCentre: process.dataCentre};
}

function isLinked(a: FleetProcess, b: FleetProcess): boolean {
  if (a.role === 'entry' && b.role === 'entry') return true;
  return a.role !== b.role && a.region === b.region;
}

import type {ConfirmedPlan} from '@chervilbeam/coordination';
import type {HistoryEvent} from '../../histories/history-event.js';
import {SimulatedNetwork} from '../kernel/simulated-network.js';
import {SimulatedStore} from '../kernel/simulated-store.js';
import {Simulation} from '../kernel/simulation.js';
import {BaseWorld} from './base-world.js';
import {
  ConfigurationProcess,
  type ConfigurationMessage,
  type CreateConfigurationReducer,
} from './configuration-process.js';

const tickMs = 50;
const changesUntilMs = 25_000;
const faultsOverMs = 50_000;
const endMs = 65_000;
/** Times that an operator repeats a confirmation whose outcome is unknown, each at another entry. */
const maxRepeats = 3;

/** Steps of the configuration protocols. */
export const configurationSteps = [
  ['configuration confirm', 'store:get:config'],
  ['configuration confirm', 'store:put:config'],
  ['configuration relay', 'store:watch:config'],
  ['configuration relay', 'config'],
  ['configuration relay', 'config-request'],
  ['configuration relay', 'heartbeat'],
] as const;

/** Reducers that replace the real ones. */
export interface ConfigurationWorldOptions {
  readonly createReducer?: CreateConfigurationReducer;
}

/** Three data centres in two regions whose operators change the configuration through any entry. */
export class ConfigurationWorld extends BaseWorld<ConfigurationMessage> {
  readonly hosts = [];
  protected readonly network: SimulatedNetwork<ConfigurationMessage>;
  protected override readonly store: SimulatedStore;
  readonly #entries: ConfigurationProcess[] = [];
  readonly #log = new Map<number, string>();
  readonly #repeats = new Map<string, number>();
  #plans = 0;

  constructor(seed: number, options: ConfigurationWorldOptions = {}) {
    super(new Simulation(seed));
    const {simulation} = this;
    this.network = new SimulatedNetwork(simulation, {'config-request': ['config']});
    this.store = new SimulatedStore(simulation);
    this.store.onWrite = (key, value) => this.#noteHead(key, value);
    const places = [
      ['e1', 'a', 'r1'],
      ['e2', 'a', 'r1'],
      ['e3', 'b', 'r1'],
      ['e4', 'c', 'r2'],
      ['e5', 'c', 'r2'],
      ['h1', 'a', 'r1'],
      ['h2', 'c', 'r2'],
    ] as const;
    for (const [name, dataCentre, region] of places) {
      const role = name.startsWith('e') ? 'entry' : 'agent';
      const process = new ConfigurationProcess(
        simulation,
        {name, role, dataCentre, region, tickMs},
        this.network,
        this.store,
        name === 'e1',
        {repeat: plan => this.#repeat(plan), isInDoubt: changeId => this.#repeats.has(changeId)},
        options.createReducer,
      );
      this.processes.set(name, process);
      if (role === 'entry') this.#entries.push(process);
    }
    this.#connect();
  }

  killHost(): void {}

  failHost(): void {}

  raceOperators(): boolean {
    for (const entry of this.#entries) if (entry.alive) this.#confirm(entry);
    return true;
  }

  cancel(): boolean {
    return false;
  }

  run(): readonly HistoryEvent[] {
    const {simulation} = this;
    for (const process of this.processes.values()) process.start();
    simulation.schedule(4_000, () => this.#change());
    simulation.schedule(faultsOverMs, () => simulation.record({kind: 'faults-over'}));
    simulation.runUntil(endMs);
    const changeIds = [...this.#log].sort((a, b) => a[0] - b[0]).map(([, changeId]) => changeId);
    simulation.record({kind: 'configuration-log', changeIds});
    simulation.record({kind: 'history-ended'});
    return simulation.history;
  }

  #connect(): void {
    const processes = [...this.processes.values()] as ConfigurationProcess[];
    for (const [index, a] of processes.entries()) {
      for (const b of processes.slice(index + 1)) {
        const agents = [a, b].filter(process => process.options.role === 'agent').length;
        const near = a.options.region === b.options.region;
        if (agents === 0 || (agents === 1 && near)) this.network.link(a, b, near ? 1.5 : 30);
      }
    }
  }

  /** Lets an operator confirm a change at a random entry, about every second. */
  #change(): void {
    const {simulation} = this;
    if (simulation.now > changesUntilMs) return;
    const open = this.#entries.filter(entry => entry.alive && !entry.frozen);
    if (open.length > 0) this.#confirm(simulation.random.pick(open));
    simulation.schedule(simulation.random.between(300, 1_800), () => this.#change());
  }

  #confirm(entry: ConfigurationProcess): void {
    const planId = `change-${++this.#plans}`;
    entry.confirm({
      planId,
      baseVersion: entry.version,
      author: 'operator',
      operations: [
        {
          kind: 'put-workload',
          workload: {
            kind: 'service',
            name: planId,
            team: 'team',
            urgency: 'normal',
            grant: {slots: 1, processors: 1_000},
            resources: {processors: 1_000, memoryMb: 1_000, accelerators: 0, slots: 1},
            tasks: 1,
          },
        },
      ],
    });
  }

  #repeat(plan: ConfirmedPlan): void {
    const repeats = (this.#repeats.get(plan.planId) ?? 0) + 1;
    this.#repeats.set(plan.planId, repeats);
    const open = this.#entries.filter(entry => entry.alive);
    if (repeats > maxRepeats || open.length === 0) return;
    this.simulation.random.pick(open).confirm(plan);
  }

  #noteHead(key: string, value: unknown): void {
    if (key !== 'config/head') return;
    const head = value as {changes: ReadonlyArray<{version: number; changeId: string}>};
    // The first content of a version counts, so that a version that is written over shows as a lost change.
    for (const change of head.changes) {
      if (!this.#log.has(change.version)) this.#log.set(change.version, change.changeId);
    }
  }
}

import type {ConfirmedPlan} from '@chervilbeam/coordination';
import type {HistoryEvent} from '../../histories/history-event.js';
import {SimulatedNetwork} from '../kernel/simulated-network.js';
import {SimulatedStore} from '../kernel/simulated-store.js';
import {Simulation} from '../kernel/simulation.js';
import {BaseWorld} from './base-world.js';
import {
  ConfigurationProcess,
  type ConfigurationMessage,
  type ConfigurationReducerFactory,
} from './configuration-process.js';

const tickMs = 50;
const changesUntilMs = 25_000;
const faultsOverMs = 50_000;
const endMs = 65_000;
/** Number of times that an operator repeats a confirmation with an unknown outcome, each at a random entry. */
const maxRepeats = 3;

/** Steps of the configuration protocols, as pairs of protocol and step. */
export const configurationSteps = [
  ['configuration confirm', 'store:get:config'],
  ['configuration confirm', 'store:put:config'],
  ['configuration relay', 'store:watch:config'],
  ['configuration relay', 'config'],
  ['configuration relay', 'config-request'],
  ['configuration relay', 'heartbeat'],
] as const;

/** Reducers that replace the production ones, for tests. */
export interface ConfigurationWorldOptions {
  readonly createReducer?: ConfigurationReducerFactory;
}

/** Three data centres in two regions. Operators change the configuration through random entries. */
export class ConfigurationWorld extends BaseWorld<ConfigurationMessage> {
  readonly hosts = [];
  protected readonly network: SimulatedNetwork<ConfigurationMessage>;
  protected override readonly store: SimulatedStore;
  readonly #entries: ConfigurationProcess[] = [];
  readonly #changeIdsByVersion = new Map<number, string>();
  readonly #repeatCounts = new Map<string, number>();
  #planCount = 0;

  constructor(seed: number, options: ConfigurationWorldOptions = {}) {
    super(new Simulation(seed));
    const {simulation} = this;
    this.network = new SimulatedNetwork(simulation, {'config-request': ['config']});
    this.store = new SimulatedStore(simulation);
    this.store.onWrite = (key, value) => this.#recordHead(key, value);
    const processPlaces = [
      ['e1', 'a', 'r1'],
      ['e2', 'a', 'r1'],
      ['e3', 'b', 'r1'],
      ['e4', 'c', 'r2'],
      ['e5', 'c', 'r2'],
      ['h1', 'a', 'r1'],
      ['h2', 'c', 'r2'],
    ] as const;
    for (const [name, dataCentre, region] of processPlaces) {
      const role = name.startsWith('e') ? 'entry' : 'agent';
      const process = new ConfigurationProcess(
        simulation,
        {name, role, dataCentre, region, tickMs},
        this.network,
        this.store,
        name === 'e1',
        {
          repeat: plan => this.#repeatConfirmation(plan),
          isInDoubt: changeId => this.#repeatCounts.has(changeId),
        },
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
    for (const entry of this.#entries) if (entry.isAlive) this.#confirmNewPlan(entry);
    return true;
  }

  cancel(): boolean {
    return false;
  }

  run(): readonly HistoryEvent[] {
    const {simulation} = this;
    for (const process of this.processes.values()) process.start();
    simulation.schedule(4_000, () => this.#confirmPeriodically());
    simulation.schedule(faultsOverMs, () => simulation.record({kind: 'faults-over'}));
    simulation.runUntil(endMs);
    const changeIds = [...this.#changeIdsByVersion]
      .sort((a, b) => a[0] - b[0])
      .map(([, changeId]) => changeId);
    simulation.record({kind: 'configuration-log', changeIds});
    simulation.record({kind: 'history-ended'});
    return simulation.history;
  }

  #connect(): void {
    const processes = [...this.processes.values()] as ConfigurationProcess[];
    for (const [index, a] of processes.entries()) {
      for (const b of processes.slice(index + 1)) {
        const agentCount = [a, b].filter(process => process.options.role === 'agent').length;
        const isSameRegion = a.options.region === b.options.region;
        if (agentCount === 0 || (agentCount === 1 && isSameRegion))
          this.network.link(a, b, isSameRegion ? 1.5 : 30);
      }
    }
  }

  /** Confirms a change at a random entry and schedules the next one 0.3 to 1.8 s later, until `changesUntilMs`. */
  #confirmPeriodically(): void {
    const {simulation} = this;
    if (simulation.now > changesUntilMs) return;
    const running = this.#entries.filter(entry => entry.isAlive && !entry.isFrozen);
    if (running.length > 0) this.#confirmNewPlan(simulation.random.pick(running));
    simulation.schedule(simulation.random.between(300, 1_800), () => this.#confirmPeriodically());
  }

  #confirmNewPlan(entry: ConfigurationProcess): void {
    const planId = `change-${++this.#planCount}`;
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

  #repeatConfirmation(plan: ConfirmedPlan): void {
    const repeats = (this.#repeatCounts.get(plan.planId) ?? 0) + 1;
    this.#repeatCounts.set(plan.planId, repeats);
    const running = this.#entries.filter(entry => entry.isAlive);
    if (repeats > maxRepeats || running.length === 0) return;
    this.simulation.random.pick(running).confirm(plan);
  }

  #recordHead(key: string, value: unknown): void {
    if (key !== 'config/head') return;
    const head = value as {changes: ReadonlyArray<{version: number; changeId: string}>};
    // Keep the first change of each version, so that overwriting a version shows up as a lost change.
    for (const change of head.changes) {
      if (!this.#changeIdsByVersion.has(change.version))
        this.#changeIdsByVersion.set(change.version, change.changeId);
    }
  }
}

import type {
  Configuration,
  LedgerRecord,
  RegisteredEntry,
  Resources,
  Workload,
} from '@chervilbeam/coordination';
import type {HistoryEvent} from '../../histories/history-event.js';
import type {InteractionListener} from '../kernel/interaction.js';
import {SimulatedNetwork} from '../kernel/simulated-network.js';
import {SimulatedStore} from '../kernel/simulated-store.js';
import {SimulatedWorker} from '../kernel/simulated-worker.js';
import {Simulation} from '../kernel/simulation.js';
import {BaseWorld} from './base-world.js';
import {TaskAgent, type TaskAgentReducerFactory} from './task-agent.js';
import {TaskEntry, type TaskEntryReducersFactory, type TaskMessage} from './task-entry.js';

const tickMs = 100;
const faultsOverMs = 75_000;
const endMs = 150_000;
const capacity: Resources = {processors: 4_000, memoryMb: 8_000, accelerators: 0, slots: 8};
const runTimesMs: Readonly<Record<string, number>> = {print: 18_000, dividend: 9_000, extra: 6_000};

/** Steps of the task protocols, as pairs of protocol (as named in the design document) and step. */
export const taskSteps = [
  ['task start', 'start'],
  ['task start', 'worker:start'],
  ['task lease', 'heartbeat'],
  ['task lease', 'grant'],
  ['task lease', 'worker:renew'],
  ['task evict and resume', 'stop'],
  ['task evict and resume', 'worker:checkpoint'],
  ['task evict and resume', 'worker:stop'],
  ['task evict and resume', 'report'],
  ['task evict and resume', 'acknowledge'],
  ['ledger write', 'store:get:ledger'],
  ['ledger write', 'store:put:ledger'],
  ['takeover', 'store:create-lease:lease'],
  ['takeover', 'store:renew-lease:lease'],
  ['takeover', 'store:put:owner'],
  ['takeover', 'store:put:holder'],
  ['takeover', 'fence'],
  ['hold', 'vouch'],
] as const;

/** Reducers that replace the production ones, for tests. */
export interface TaskWorldOptions {
  readonly createEntryReducers?: TaskEntryReducersFactory;
  readonly createAgentReducer?: TaskAgentReducerFactory;
}

/**
 * Three data centres with an entry and a host each. The cell owner is killed, the store has an outage, and operators
 * add work and drain a host.
 */
export class TaskWorld extends BaseWorld<TaskMessage> {
  readonly hosts = ['h1', 'h2', 'h3'];
  protected readonly network: SimulatedNetwork<TaskMessage>;
  protected override readonly store: SimulatedStore;
  readonly #entries: TaskEntry[] = [];
  readonly #agents: TaskAgent[] = [];
  readonly #registeredEntries = new Map<string, RegisteredEntry>();
  readonly #recordedFinishedTasks = new Set<string>();
  readonly #recordedCheckpoints = new Map<string, string>();
  #configuration: Configuration = {
    version: 0,
    workloads: new Map(),
    teams: new Map(),
    drains: new Set(),
  };

  constructor(seed: number, options: TaskWorldOptions = {}) {
    super(new Simulation(seed));
    const {simulation} = this;
    this.network = new SimulatedNetwork(simulation, {
      start: ['report'],
      stop: ['report'],
      heartbeat: ['grant'],
      report: ['acknowledge'],
      vouch: ['vouched'],
      fence: ['fenced'],
    });
    this.store = new SimulatedStore(simulation);
    this.store.onWrite = (key, value) => this.#recordLedger(key, value);
    for (const [index, dataCentre] of ['a', 'b', 'c'].entries()) {
      const processOptions = {dataCentre, region: 'r1', tickMs};
      const entry = new TaskEntry(
        simulation,
        {...processOptions, name: `e${index + 1}`, role: 'entry'},
        this.network,
        this.store,
        started => this.#registerStarted(started),
        options.createEntryReducers,
      );
      const host = `h${index + 1}`;
      const worker = new SimulatedWorker(simulation, host, capacity, name => runTimesMs[name]);
      const agent = new TaskAgent(
        simulation,
        {...processOptions, name: host, role: 'agent'},
        this.network,
        worker,
        options.createAgentReducer,
      );
      this.#entries.push(entry);
      this.#agents.push(agent);
      this.processes.set(entry.name, entry).set(agent.name, agent);
    }
    for (const [index, entry] of this.#entries.entries()) {
      for (const agent of this.#agents) this.network.link(entry, agent, 1.5);
      for (const other of this.#entries.slice(index + 1)) this.network.link(entry, other, 1.5);
    }
  }

  override listen(listener: InteractionListener): void {
    super.listen(listener);
    for (const agent of this.#agents) agent.worker.listener = listener;
  }

  killHost(host: string, durationMs: number): void {
    this.#getWorker(host)?.kill(durationMs);
  }

  failHost(host: string, durationMs: number): void {
    const worker = this.#getWorker(host);
    if (worker) worker.failingUntil = this.simulation.now + durationMs;
  }

  raceOperators(): boolean {
    this.#putWorkload(createBatch('extra', 2));
    this.#setHostDraining('h2', true);
    this.simulation.schedule(6_000, () => this.#setHostDraining('h2', false));
    return true;
  }

  cancel(): boolean {
    if (!this.#configuration.workloads.has('print')) return false;
    const workloads = new Map(this.#configuration.workloads);
    const {tasks} = workloads.get('print')!;
    workloads.delete('print');
    for (let index = 0; index < tasks; index++) {
      this.simulation.record({kind: 'task-cancelled', task: `print/${index}`});
    }
    this.#updateConfiguration({workloads});
    return true;
  }

  run(): readonly HistoryEvent[] {
    const {simulation} = this;
    for (const process of this.processes.values()) process.start();
    this.#putWorkload(createService('web', 3));
    this.#putWorkload(createBatch('print', 9));
    simulation.schedule(8_000, () => this.#putWorkload(createBatch('dividend', 6, 'urgent')));
    simulation.schedule(14_000, () => this.#setHostDraining('h1', true));
    simulation.schedule(24_000, () => this.#setHostDraining('h1', false));
    simulation.schedule(30_000, () => this.#killOwner());
    simulation.schedule(42_000, () => this.stopStore(16_000));
    simulation.schedule(62_000, () => this.#putWorkload(createBatch('extra', 4)));
    simulation.schedule(faultsOverMs, () => simulation.record({kind: 'faults-over'}));
    simulation.runUntil(endMs);
    simulation.record({kind: 'history-ended'});
    return simulation.history;
  }

  #killOwner(): void {
    const owner = this.#entries.find(entry => entry.mode !== 'none');
    if (!owner) return;
    owner.kill();
    this.simulation.schedule(4_000, () => owner.start());
  }

  #putWorkload(workload: Workload): void {
    const workloads = new Map(this.#configuration.workloads);
    this.#updateConfiguration({workloads: workloads.set(workload.name, workload)});
  }

  #setHostDraining(host: string, draining: boolean): void {
    const drains = new Set(this.#configuration.drains);
    if (drains.has(host) === draining) return;
    if (draining) drains.add(host);
    else drains.delete(host);
    this.simulation.record({kind: draining ? 'host-leaving' : 'host-returned', host});
    this.#updateConfiguration({drains});
  }

  #updateConfiguration(change: Partial<Configuration>): void {
    const version = this.#configuration.version + 1;
    const configuration = {...this.#configuration, ...change, version};
    this.#configuration = configuration;
    for (const entry of this.#entries) {
      const delayMs = this.simulation.random.between(5, 400);
      entry.after(delayMs, () => entry.configure(configuration));
    }
  }

  /** Registers a started entry, passes the configuration to it, and passes the list of registered entries to all. */
  #registerStarted(entry: TaskEntry): void {
    const {name, incarnation} = entry;
    const {dataCentre} = entry.options;
    this.#registeredEntries.set(name, {name, dataCentre, incarnation, address: name});
    entry.after(100, () => entry.configure(this.#configuration));
    const entries = [...this.#registeredEntries.values()];
    for (const other of this.#entries) other.after(50, () => other.register(entries));
  }

  #recordLedger(key: string, value: unknown): void {
    if (!key.endsWith('/ledger')) return;
    for (const [task, {checkpoint}] of Object.entries((value as LedgerRecord).tasks)) {
      if (checkpoint === undefined || this.#recordedCheckpoints.get(task) === checkpoint) continue;
      this.#recordedCheckpoints.set(task, checkpoint);
      this.simulation.record({kind: 'checkpoint-recorded', task, checkpoint});
    }
    for (const [name, {finished, done}] of Object.entries((value as LedgerRecord).workloads)) {
      const tasks = this.#configuration.workloads.get(name)?.tasks ?? 0;
      for (let index = 0; index < tasks; index++) {
        // `finished` is a bitmap in hexadecimal, four tasks a digit.
        const digit = Number.parseInt(finished[index >> 2] ?? '0', 16);
        const task = `${name}/${index}`;
        if ((!done && !(digit & (1 << (index & 3)))) || this.#recordedFinishedTasks.has(task))
          continue;
        this.#recordedFinishedTasks.add(task);
        this.simulation.record({kind: 'task-recorded-finished', task});
      }
    }
  }

  #getWorker(host: string): SimulatedWorker | undefined {
    return this.#agents.find(agent => agent.name === host)?.worker;
  }
}

function createBatch(
  name: string,
  tasks: number,
  urgency: Workload['urgency'] = 'normal',
): Workload {
  return {
    kind: 'batch',
    name,
    team: 'team',
    urgency,
    grant: {slots: 0, processors: 0},
    resources: {processors: 1_000, memoryMb: 1_500, accelerators: 0, slots: 1},
    tasks,
    runTimeSeconds: runTimesMs[name]! / 1_000,
    checkpointSeconds: 5,
  };
}

function createService(name: string, tasks: number): Workload {
  return {
    kind: 'service',
    name,
    team: 'team',
    urgency: 'critical',
    grant: {slots: 3, processors: 3_000},
    resources: {processors: 1_000, memoryMb: 2_000, accelerators: 0, slots: 2},
    tasks,
  };
}

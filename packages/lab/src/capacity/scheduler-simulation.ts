import {
  CellScheduler,
  type Announce,
  type AttemptReport,
  type CellSchedulerEffect,
  type CellSchedulerEvent,
  type Configuration,
  type LedgerRecord,
  type Report,
  type Start,
  type Workload,
} from '@chervilbeam/coordination';
import {SeededRandom} from '../faults/kernel/seeded-random.js';
import {passThroughCodec} from './meters.js';
import {createBatch, createHello, createService, workerCapacity} from './sizes.js';

const tickIntervalMs = 100;
const heartbeatIntervalMs = 3_000;
/** Mean run time of a batch task. */
const meanRunMs = 76_000;
/** Mean number of tasks on each host in two years: 14,000 service and 19,000 batch tasks on 3,600 hosts. */
const serviceTasksPerHost = 3.9;
const batchTasksPerHost = 5.3;

interface RunningTask {
  readonly task: string;
  readonly attempt: number;
  readonly endsAt: number;
}

interface SimulatedHost {
  readonly name: string;
  readonly tasks: Map<string, RunningTask>;
  /** State changes that the next report contains. */
  pendingReports: AttemptReport[];
}

/** Totals of a simulation since its start. */
export interface SimulationTotals {
  /** Time spent in the scheduler and the codec, in milliseconds of real time. */
  ms: number;
  events: number;
  starts: number;
  ledgerWrites: number;
  ledgerBytes: number;
  sentBytes: number;
  receivedBytes: number;
}

/** Runs the real scheduler of one cell with simulated hosts, whose tasks start at once and run for random times. */
export class SchedulerSimulation {
  readonly totals: SimulationTotals = createTotals();
  scheduler = new CellScheduler({cell: 'main'});
  configuration: Configuration;
  /** Last ledger record that the scheduler wrote. */
  ledger: LedgerRecord | undefined;
  /** Virtual time in milliseconds. */
  at = 0;
  readonly #hosts = new Map<string, SimulatedHost>();
  readonly #random: SeededRandom;
  /** Virtual time of the first start of each task. */
  readonly #firstStartTimes = new Map<string, number>();
  #revision = 1;
  #term = 1;

  constructor(
    readonly hostCount: number,
    seed: number,
    waitingJobs = 0,
  ) {
    this.#random = new SeededRandom(seed);
    const workloads = createCellWorkloads(hostCount, waitingJobs);
    this.configuration = {
      version: 1,
      workloads: new Map(workloads.map(workload => [workload.name, workload])),
      teams: new Map(),
      drains: new Set(),
    };
    for (let i = 0; i < hostCount; i++) {
      const name = `host-${i}`;
      this.#hosts.set(name, {name, tasks: new Map(), pendingReports: []});
    }
  }

  /** Connects all hosts and makes the scheduler the owner of the cell. */
  acquireOwnership(): void {
    for (const host of this.#hosts.values()) this.#connect(host);
    this.handle({kind: 'ownership', mode: 'owner', term: this.#term, until: Infinity});
    this.handle({kind: 'configuration', configuration: this.configuration});
  }

  /** Runs for a virtual time in milliseconds, with heartbeats, reports and ticks. */
  run(durationMs: number): void {
    const end = this.at + durationMs;
    while (this.at < end) {
      this.at += tickIntervalMs;
      this.handle({kind: 'tick', wallTimeMs: this.at});
      let index = 0;
      for (const host of this.#hosts.values()) {
        this.#finishDueTasks(host);
        // Spreads the heartbeats of the hosts over the heartbeat interval.
        const phase = (index++ * 37) % (heartbeatIntervalMs / tickIntervalMs);
        if ((this.at / tickIntervalMs) % (heartbeatIntervalMs / tickIntervalMs) === phase)
          this.#sendHeartbeat(host);
        if (host.pendingReports.length > 0) this.#sendReport(host, false);
      }
    }
  }

  /**
   * Adds a workload and returns the milliseconds until all its tasks have started. This is the virtual time, at most
   * `limitMs`, plus the real time spent in the scheduler and the codec meanwhile.
   */
  measureStart(workload: Workload, limitMs: number): number {
    const workloads = new Map(this.configuration.workloads).set(workload.name, workload);
    this.configuration = {
      ...this.configuration,
      version: this.configuration.version + 1,
      workloads,
    };
    const from = this.at;
    const ms = this.totals.ms;
    this.handle({kind: 'configuration', configuration: this.configuration});
    const tasks = Array.from({length: workload.tasks}, (_, i) => `${workload.name}/${i}`);
    while (this.at < from + limitMs && !tasks.every(task => this.#firstStartTimes.has(task))) {
      this.run(tickIntervalMs);
    }
    return this.at - from + this.totals.ms - ms;
  }

  /** Replaces the scheduler by one with empty state; returns the cost of recovering from the ledger and reports. */
  takeOver(): {ms: number; receivedBytes: number; ledgerBytes: number} {
    const before = {...this.totals};
    this.scheduler = new CellScheduler({cell: 'main'});
    this.#term += 1;
    this.acquireOwnership();
    for (const host of this.#hosts.values()) this.#sendHeartbeat(host);
    this.handle({kind: 'tick', wallTimeMs: this.at});
    return {
      ms: this.totals.ms - before.ms,
      receivedBytes: this.totals.receivedBytes - before.receivedBytes,
      ledgerBytes: JSON.stringify(this.ledger ?? {}).length,
    };
  }

  /** Returns the number of running tasks. */
  countRunning(): number {
    let count = 0;
    for (const host of this.#hosts.values()) count += host.tasks.size;
    return count;
  }

  /**
   * Passes an event to the scheduler and executes its effects. Measures the time in the reducer and in encoding and
   * decoding the messages that it sends.
   */
  handle(event: CellSchedulerEvent): void {
    const startedAt = performance.now();
    const effects = this.scheduler.reduce(event, this.at);
    for (const effect of effects) {
      if (effect.kind === 'send') this.totals.sentBytes += passThroughCodec(effect.message);
    }
    this.totals.ms += performance.now() - startedAt;
    this.totals.events++;
    for (const effect of effects) this.#carryOut(effect);
  }

  #carryOut(effect: CellSchedulerEffect): void {
    switch (effect.kind) {
      case 'read-ledger':
        this.handle({
          kind: 'ledger-read',
          record: this.ledger,
          revision: this.ledger ? this.#revision : 0,
        });
        break;
      case 'write-ledger': {
        const text = JSON.stringify(effect.record);
        this.ledger = JSON.parse(text) as LedgerRecord;
        this.totals.ledgerWrites++;
        this.totals.ledgerBytes += text.length;
        const {sequence} = effect;
        const revision = ++this.#revision;
        this.handle({kind: 'ledger-written', sequence, result: 'written', revision});
        break;
      }
      case 'send':
        // A grant with a lease of 0 ms asks the agent for a full report.
        if (effect.message.kind === 'grant' && effect.message.leaseMs === 0) {
          this.#sendReport(this.#hosts.get(effect.host)!, true);
        }
        if (effect.message.kind === 'start') this.#startTask(effect.host, effect.message);
        if (effect.message.kind === 'stop') this.#stopTask(effect.host, effect.message.task);
        break;
      default:
    }
  }

  #connect({name}: SimulatedHost): void {
    const hostIndex = Number(name.slice(5));
    const hello = createHello(name, 'agent', `dc${hostIndex % 24}`, 'r1', hostIndex + 2);
    const announce: Announce = {
      kind: 'announce',
      host: name,
      rack: `rack-${hostIndex % 30}`,
      capacity: workerCapacity,
      services: [],
      slots: workerCapacity.slots,
      connections: 64,
      draining: false,
    };
    this.handle({kind: 'host-up', host: name, hello, announce});
  }

  #sendHeartbeat({name, tasks}: SimulatedHost): void {
    const message = {
      kind: 'heartbeat',
      stamp: this.at,
      configVersion: this.configuration.version,
      inFlight: tasks.size,
    } as const;
    this.totals.receivedBytes += passThroughCodec(message);
    this.handle({kind: 'heartbeat', host: name, message});
  }

  #sendReport(host: SimulatedHost, full: boolean): void {
    const running = [...host.tasks.values()].map(({task, attempt}) => {
      return {task, attempt, state: 'running' as const};
    });
    const attempts = full ? running : host.pendingReports;
    host.pendingReports = [];
    const message: Report = {kind: 'report', full, attempts};
    const startedAt = performance.now();
    this.totals.receivedBytes += passThroughCodec(message);
    this.totals.ms += performance.now() - startedAt;
    this.handle({kind: 'report', host: host.name, message});
  }

  #startTask(name: string, {task, attempt, workload}: Start): void {
    const host = this.#hosts.get(name)!;
    this.totals.starts++;
    if (!this.#firstStartTimes.has(task)) this.#firstStartTimes.set(task, this.at);
    const batch = this.configuration.workloads.get(workload)?.kind === 'batch';
    // Run times are exponential, so that tasks finish at a constant rate from the beginning.
    const runMs = -meanRunMs * Math.log(1 - this.#random.next());
    host.tasks.set(task, {task, attempt, endsAt: batch ? this.at + runMs : Infinity});
    host.pendingReports.push({task, attempt, state: 'running'});
  }

  #stopTask(name: string, task: string): void {
    const host = this.#hosts.get(name)!;
    const running = host.tasks.get(task);
    if (!running) return;
    host.tasks.delete(task);
    const checkpoint = `checkpoint-${running.attempt}`;
    host.pendingReports.push({task, attempt: running.attempt, state: 'stopped', checkpoint});
  }

  #finishDueTasks(host: SimulatedHost): void {
    for (const {task, attempt, endsAt} of host.tasks.values()) {
      if (endsAt > this.at) continue;
      host.tasks.delete(task);
      host.pendingReports.push({task, attempt, state: 'finished'});
    }
  }
}

function createTotals(): SimulationTotals {
  return {
    ms: 0,
    events: 0,
    starts: 0,
    ledgerWrites: 0,
    ledgerBytes: 0,
    sentBytes: 0,
    receivedBytes: 0,
  };
}

function createCellWorkloads(hosts: number, waitingJobs: number): Workload[] {
  const workloads: Workload[] = [];
  const services = Math.ceil((hosts * serviceTasksPerHost) / 7);
  for (let i = 0; i < services; i++) workloads.push(createService(`service-${i}`, 7));
  // Sized so that the service and batch tasks expected per host in two years fill a host. The jobs have four times as
  // many batch tasks as fit, so that the hosts stay full.
  const processors = Math.floor(
    (workerCapacity.processors - serviceTasksPerHost * 1_000) / batchTasksPerHost,
  );
  const jobs = Math.ceil((hosts * batchTasksPerHost * 4) / 40);
  for (let i = 0; i < jobs; i++) {
    const job = createBatch(`job-2026-12-04-${i}`, 40);
    workloads.push({...job, resources: {...job.resources, processors}});
  }
  // These jobs wait because the hosts are full; the scheduler examines each of them in every round.
  for (let i = 0; i < waitingJobs; i++) workloads.push(createBatch(`waiting-${i}`, 20));
  return workloads;
}

import {CellScheduler, type CellSchedulerEffect, type Workload} from '@chervilbeam/coordination';
import {RandomSource} from '../../cell/index.js';
import type {Experiment, Measure, RunResult} from '../experiment.js';

const durationSeconds = 20;
const tickMs = 100;
const capacity = {processors: 16_000, memoryMb: 60_000, accelerators: 1, slots: 8};

/** Reports every started task as running at once, and as finished 1 to 3 s later. */
class SimulatedHosts {
  starts = 0;
  ledgerWrites = 0;
  private readonly runningTasks: Array<{at: number; host: string; task: string; attempt: number}> =
    [];

  constructor(
    private readonly scheduler: CellScheduler,
    private readonly random: RandomSource,
  ) {}

  /** Executes effects of the scheduler, and the effects of the events that it receives in return. */
  applyEffects(effects: readonly CellSchedulerEffect[], at: number): void {
    const queue = [...effects];
    for (let effect = queue.shift(); effect; effect = queue.shift()) {
      if (effect.kind === 'read-ledger') {
        queue.push(...this.scheduler.reduce({kind: 'ledger-read', revision: 0}, at));
      } else if (effect.kind === 'write-ledger') {
        this.ledgerWrites += 1;
        const {sequence} = effect;
        const revision = effect.expectedRevision + 1;
        const event = {kind: 'ledger-written', sequence, result: 'written', revision} as const;
        queue.push(...this.scheduler.reduce(event, at));
      } else if (effect.kind === 'send' && effect.message.kind === 'start') {
        this.starts += 1;
        const {task, attempt} = effect.message;
        const {host} = effect;
        queue.push(...this.report(host, task, attempt, 'running', at));
        this.runningTasks.push({at: at + 1_000 + this.random.integer(2_000), host, task, attempt});
      }
    }
  }

  /** Reports the tasks that are due by a virtual time as finished. */
  finishDueTasks(at: number): void {
    const ready = this.runningTasks.filter(entry => entry.at <= at);
    this.runningTasks.splice(
      0,
      this.runningTasks.length,
      ...this.runningTasks.filter(entry => entry.at > at),
    );
    for (const {host, task, attempt} of ready) {
      this.applyEffects(this.report(host, task, attempt, 'finished', at), at);
    }
  }

  private report(
    host: string,
    task: string,
    attempt: number,
    state: 'running' | 'finished',
    at: number,
  ): readonly CellSchedulerEffect[] {
    const message = {kind: 'report', full: false, attempts: [{task, attempt, state}]} as const;
    return this.scheduler.reduce({kind: 'report', host, message}, at);
  }
}

function createWorkload(number: number, tasks: number): Workload {
  return {
    kind: 'batch',
    name: `job-${number}`,
    team: `team-${number % 340}`,
    urgency: 'normal',
    grant: {slots: 0, processors: 0},
    resources: {processors: 2_000, memoryMb: 500, accelerators: 0, slots: 0},
    tasks,
    runTimeSeconds: 4,
    dateMs: 3_600_000,
  };
}

function connectHosts(scheduler: CellScheduler, hosts: number): void {
  for (let number = 0; number < hosts; number += 1) {
    const host = `host-${number}`;
    const hello = {
      kind: 'hello',
      protocol: 1,
      deployment: 'lab',
      role: 'agent',
      dataCentre: `dc-${number % 24}`,
      region: 'lab',
      name: host,
      incarnation: number + 1,
      purpose: 'control',
      peers: [],
      configVersion: 0,
    } as const;
    const announce = {
      kind: 'announce',
      host,
      rack: `rack-${Math.floor(number / 3)}`,
      capacity,
      services: [],
      slots: 8,
      connections: 64,
      draining: false,
    } as const;
    scheduler.reduce({kind: 'host-up', host, hello, announce}, 0);
    scheduler.reduce(
      {kind: 'report', host, message: {kind: 'report', full: true, attempts: []}},
      0,
    );
  }
}

function measurePlacement(seed: number, hosts: number, startsPerSecond: number): RunResult {
  const scheduler = new CellScheduler({cell: 'main'});
  const simulatedHosts = new SimulatedHosts(scheduler, new RandomSource(seed));
  simulatedHosts.applyEffects(scheduler.reduce({kind: 'ownership', mode: 'owner', term: 1}, 0), 0);
  simulatedHosts.applyEffects(
    scheduler.reduce({kind: 'fence-complete', unreportedBlockedUntil: 0}, 0),
    0,
  );
  connectHosts(scheduler, hosts);
  const workloads = new Map<string, Workload>();
  let totalRoundMs = 0;
  let longestRoundMs = 0;
  const starts = simulatedHosts.starts;
  for (let at = tickMs; at <= durationSeconds * 1_000; at += tickMs) {
    if (at % 3_000 === tickMs) {
      for (const host of scheduler.getState().hosts.keys()) {
        const message = {kind: 'heartbeat', stamp: at, configVersion: 0, inFlight: 0} as const;
        scheduler.reduce({kind: 'heartbeat', host, message}, at);
      }
    }
    const number = workloads.size;
    workloads.set(`job-${number}`, createWorkload(number, (startsPerSecond * tickMs) / 1_000));
    const configuration = {
      version: number + 1,
      workloads: new Map(workloads),
      teams: new Map(),
      drains: new Set<string>(),
    };
    simulatedHosts.finishDueTasks(at);
    const startedAtNs = process.hrtime.bigint();
    simulatedHosts.applyEffects(scheduler.reduce({kind: 'configuration', configuration}, at), at);
    simulatedHosts.applyEffects(scheduler.reduce({kind: 'tick', wallTimeMs: at}, at), at);
    const ms = Number(process.hrtime.bigint() - startedAtNs) / 1e6;
    totalRoundMs += ms;
    longestRoundMs = Math.max(longestRoundMs, ms);
  }
  const started = simulatedHosts.starts - starts;
  const measures: Measure[] = [
    {
      name: 'starts per second',
      unit: '/s',
      value: started / durationSeconds,
      target: {atLeast: startsPerSecond * 0.95},
    },
    {
      name: 'store writes per start',
      unit: '',
      value: simulatedHosts.ledgerWrites / started,
      target: {atMost: 0.2},
    },
    {name: 'time per start', unit: 'us', value: (totalRoundMs * 1_000) / started},
    {name: 'longest round', unit: 'ms', value: longestRoundMs},
    {name: 'use of one core', unit: '', value: totalRoundMs / (durationSeconds * 1_000)},
  ];
  return {
    scenario: `${hosts} hosts, ${startsPerSecond} starts/s, 340 teams`,
    policy: 'cell scheduler',
    measures,
  };
}

/** Cost of a scheduling round by the number of hosts, measured on the real reducer in real time. */
export const placementExperiment: Experiment = {
  name: 'placement',
  title: 'Cost of placement in cells of 75 and 3,600 hosts',
  seeds: [1, 2, 3],
  run: seed => [
    measurePlacement(seed, 75, 50),
    measurePlacement(seed, 75, 250),
    measurePlacement(seed, 3_600, 250),
  ],
};

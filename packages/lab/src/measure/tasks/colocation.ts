import {
  ColocationPolicy,
  getWorkloadPrefix,
  type CellHost,
  type ColocationAdvisor,
  type Workload,
} from '@chervilbeam/coordination';
import {RandomSource, VirtualCell, type VirtualTask} from '../../cell/index.js';
import {getQuantile} from '../../cell/quantile.js';
import type {Experiment, Measure, RunResult} from '../experiment.js';

/** Number of services per host, and quality of the latency reports. */
interface Scenario {
  readonly name: string;
  readonly hours: number;
  readonly replicas: number;
  /** Share of the pairs of a service and a batch workload that slow the service down severely. */
  readonly severeShare: number;
  /** Standard deviation of the noise on the logarithm of a reported latency ratio. */
  readonly reportNoiseStandardDeviation: number;
  readonly reportLagMs: number;
  /** Time at which half of the pairs get new slowdowns. */
  readonly changeAtMs: number;
}

const scenarios: readonly Scenario[] = [
  {
    name: 'one service a host, constant pairs',
    hours: 1.5,
    replicas: 2,
    severeShare: 0.3,
    reportNoiseStandardDeviation: 0.08,
    reportLagMs: 7_500,
    changeAtMs: Number.POSITIVE_INFINITY,
  },
  {
    name: 'two services a host, pairs change, late noisy reports',
    hours: 1.5,
    replicas: 4,
    severeShare: 0.4,
    reportNoiseStandardDeviation: 0.15,
    reportLagMs: 15_000,
    changeAtMs: 2_700_000,
  },
];
const hostCount = 10;
const serviceNames = ['prices', 'stock', 'holdings', 'letters', 'maps'];
const batchNames = ['proof', 'run', 'index', 'print', 'check', 'pack', 'scan', 'fold'];

/** Logarithm of the slowdown of each service by one task of each batch workload; hidden from the learning policy. */
type SlowdownTable = Map<string, number>;

/** Draws the slowdown of each pair at random; with `isPartial`, each pair keeps its slowdown with probability 0.5. */
function drawSlowdowns(
  table: SlowdownTable,
  random: RandomSource,
  severeShare: number,
  isPartial = false,
): void {
  for (const service of serviceNames) {
    for (const batch of batchNames) {
      if (isPartial && random.next() < 0.5) continue;
      const isSevere = random.next() < severeShare;
      const value = isSevere ? 0.15 + 0.45 * random.next() : 0.05 * random.next();
      table.set(`${service} ${batch}`, value);
    }
  }
}

function getLogSlowdown(table: SlowdownTable, service: string, batch: string): number {
  return table.get(`${service} ${getWorkloadPrefix(batch)}`) ?? 0;
}

/**
 * Returns the slowdown of a service task: the logarithms of the slowdowns by the batch tasks on its host are added,
 * each weighted by the fraction of its processors that the batch task may use.
 */
function getLatencyRatio(
  table: SlowdownTable,
  task: VirtualTask,
  running: readonly VirtualTask[],
): number {
  let logSlowdown = 0;
  for (const other of running) {
    if (!Number.isFinite(other.workMs)) continue;
    logSlowdown += getLogSlowdown(table, task.workload, other.workload) * other.fraction;
  }
  return Math.exp(logSlowdown);
}

/** Mean logarithm of the slowdown of the mild pairs. */
const meanMildLogSlowdown = 0.025;

/**
 * Creates an advisor that knows the hidden table. It keeps latency headroom for mild tasks on the remaining cores of
 * a host, because otherwise one severe task would use it up and leave those cores idle.
 */
function createOracleAdvisor(table: SlowdownTable): ColocationAdvisor {
  const getCost = (host: CellHost, workload: Workload) => {
    let cost = 0;
    for (const service of host.runs.values()) {
      if (service.kind !== 'service') continue;
      let logSlowdown = getLogSlowdown(table, service.workload, workload.name);
      for (const run of host.runs.values()) {
        if (run.kind === 'batch')
          logSlowdown += getLogSlowdown(table, service.workload, run.workload);
      }
      const {capacity, used} = host;
      const need = workload.resources.processors;
      const furtherTasks = Math.floor((capacity.processors - used.processors - need) / need);
      if (logSlowdown + furtherTasks * meanMildLogSlowdown > Math.log(1.2))
        return Number.POSITIVE_INFINITY;
      cost = Math.max(cost, logSlowdown);
    }
    return cost;
  };
  return {getCost, sample: () => {}, report: () => []};
}

const noLearningAdvisor: ColocationAdvisor = {getCost: () => 0, sample: () => {}, report: () => []};

/** Places no batch task on a host with a service. */
const separationAdvisor: ColocationAdvisor = {
  getCost: host =>
    [...host.runs.values()].some(run => run.kind === 'service') ? Number.POSITIVE_INFINITY : 0,
  sample: () => {},
  report: () => [],
};

function createWorkloads(replicas: number): Workload[] {
  const base = {team: 'all', grant: {slots: 0, processors: 0}};
  const services = serviceNames.map(name => ({
    ...base,
    name,
    kind: 'service' as const,
    urgency: 'critical' as const,
    resources: {processors: 3_000, memoryMb: 2_000, accelerators: 0, slots: 1},
    tasks: replicas,
  }));
  const batches = batchNames.map(name => ({
    ...base,
    name: `${name}-1`,
    kind: 'batch' as const,
    urgency: 'normal' as const,
    resources: {processors: 3_000, memoryMb: 2_000, accelerators: 0, slots: 1},
    tasks: 4_000,
    runTimeSeconds: 120,
    checkpointSeconds: 30,
  }));
  return [...services, ...batches];
}

/** Samples log-normal request latencies of each service, with and without its slowdown. */
class ServiceLatencies {
  private readonly values = new Map<string, number[]>();
  private readonly alone: number[] = [];

  constructor(private readonly random: RandomSource) {}

  /** Adds the latencies of four requests to a service that is slowed down by a ratio. */
  add(service: string, ratio: number): void {
    let values = this.values.get(service);
    if (!values) {
      values = [];
      this.values.set(service, values);
    }
    for (let request = 0; request < 4; request += 1) {
      const latency = Math.exp(0.5 * this.random.normal());
      this.alone.push(latency);
      values.push(latency * ratio);
    }
  }

  /** Returns the highest ratio among the services of a latency quantile to the same quantile without slowdown. */
  getWorstRatio(quantile: number): number {
    const alone = getQuantile(this.alone, quantile);
    const all = [...this.values.values()].map(values => getQuantile(values, quantile) / alone);
    return Math.max(...all);
  }
}

interface Outcome {
  /** Highest ratio among the services of their p99 latency with batch tasks to the p99 without. */
  readonly p99: number;
  /** As `p99`, for the p99.9. */
  readonly p999: number;
  readonly batchHours: number;
  readonly evictionsPerStart: number;
}

function runPolicy(
  seed: number,
  scenario: Scenario,
  createAdvisor: (table: SlowdownTable) => ColocationAdvisor,
): Outcome {
  const slowdownRandom = new RandomSource(seed);
  const table: SlowdownTable = new Map();
  drawSlowdowns(table, slowdownRandom, scenario.severeShare);
  const latencies = new ServiceLatencies(new RandomSource(seed + 1));
  const workRandom = new RandomSource(seed + 2);
  const itemWorkMs = Array.from({length: 4_000}, () => workRandom.logUniform(40_000, 240_000));
  const cell = new VirtualCell({
    hosts: Array.from({length: hostCount}, (_, number) => ({
      name: `host-${number}`,
      dataCentre: number < 5 ? 'west' : 'east',
      rack: `rack-${Math.floor(number / 3)}`,
      capacity: {processors: 16_000, memoryMb: 60_000, accelerators: 0, slots: 8},
    })),
    getBehaviour: (workload, index) =>
      serviceNames.includes(workload)
        ? {workMs: Number.POSITIVE_INFINITY}
        : {workMs: itemWorkMs[index] ?? 60_000, checkpointIntervalMs: 30_000},
    latency: {
      getRatio: (task, running) => getLatencyRatio(table, task, running),
      lagMs: scenario.reportLagMs,
      windowMs: 5_000,
      noiseStandardDeviation: scenario.reportNoiseStandardDeviation,
      random: new RandomSource(seed + 3),
      onSample: (task, ratio) => latencies.add(task.workload, ratio),
    },
    scheduler: {colocation: createAdvisor(table)},
    tickMs: 500,
  });
  let batchMs = 0;
  cell.queue.after(5_000, () => cell.configure({put: createWorkloads(scenario.replicas)}));
  if (Number.isFinite(scenario.changeAtMs)) {
    cell.queue.after(scenario.changeAtMs, () =>
      drawSlowdowns(table, slowdownRandom, scenario.severeShare, true),
    );
  }
  cell.queue.every(1_000, () => {
    for (const host of cell.hosts.values()) {
      for (const task of host.worker.running) {
        if (Number.isFinite(task.workMs)) batchMs += 1_000 * task.fraction;
      }
    }
  });
  cell.runUntil(scenario.hours * 3_600_000);
  const {starts, evictions} = cell.scheduler.getState();
  return {
    p99: latencies.getWorstRatio(0.99),
    p999: latencies.getWorstRatio(0.999),
    batchHours: batchMs / 3_600_000,
    evictionsPerStart: evictions / Math.max(1, starts),
  };
}

/** Compares learned pairwise interference with an oracle, with separation and with no learning. */
export const colocationExperiment: Experiment = {
  name: 'colocation',
  title: 'Colocation of services and batch tasks, 10 hosts, 1.5 h, hidden pair table',
  seeds: [1, 2, 3, 4, 5],
  run: seed => scenarios.flatMap(scenario => runScenario(seed, scenario)),
};

function runScenario(seed: number, scenario: Scenario): RunResult[] {
  const oracle = runPolicy(seed, scenario, createOracleAdvisor);
  const policies: Array<[string, Outcome]> = [
    ['learned pairs', runPolicy(seed, scenario, () => new ColocationPolicy())],
    ['baseline oracle', oracle],
    ['baseline no learning', runPolicy(seed, scenario, () => noLearningAdvisor)],
    ['baseline separation', runPolicy(seed, scenario, () => separationAdvisor)],
  ];
  return policies.map(([policy, outcome]): RunResult => {
    const share = outcome.batchHours / oracle.batchHours;
    const measures: Measure[] = [
      {name: 'worst service p99 / alone', unit: '', value: outcome.p99, target: {atMost: 1.2}},
      {name: 'worst service p99.9 / alone', unit: '', value: outcome.p999},
      {name: 'batch work / oracle', unit: '', value: share, target: {atLeast: 0.85}},
      {name: 'batch work', unit: 'h', value: outcome.batchHours},
      {
        name: 'evictions / starts',
        unit: '',
        value: outcome.evictionsPerStart,
        target: {atMost: 0.1},
      },
    ];
    return {scenario: scenario.name, policy, measures};
  });
}

import {
  LeastReportedPick,
  RandomPick,
  type Configuration,
  type EntryRequestsSettings,
  type Workload,
} from '@chervilbeam/coordination';
import {encodeFrame} from '@chervilbeam/runtime';
import {
  CallerLoad,
  RequestFleet,
  VirtualLoop,
  getWindowStatistics,
  type ModelMessage,
} from '../harness/index.js';
import type {Experiment, Measure, RunResult, Target} from './experiment.js';

const slotsPerHost = 8;
const hostCount = 12;
const meanServiceMs = 20;
const endMs = 20_000;

const lookup: Workload = {
  kind: 'service',
  name: 'lookup',
  team: 'registry',
  urgency: 'urgent',
  grant: {slots: 64, processors: 0},
  resources: {processors: 1000, memoryMb: 1000, accelerators: 0, slots: 8},
  tasks: 1,
};
const configuration: Configuration = {
  version: 1,
  workloads: new Map([['lookup', lookup]]),
  teams: new Map(),
  drains: new Set(),
};

/** Settings of the entries: the current ones and those of the baselines. */
const policies: Readonly<Record<string, Partial<EntryRequestsSettings>>> = {
  current: {},
  'baseline no hedging': {hedgeRatio: 0},
  'baseline random': {hostPick: new RandomPick(), hedgeRatio: 0},
  'baseline least reported': {hostPick: new LeastReportedPick(), hedgeRatio: 0},
};

interface Scenario {
  readonly name: string;
  /** Mean share of the slots that the load keeps busy. */
  readonly utilization: number;
  readonly entries: readonly string[];
  readonly slowHosts: number;
}

const nearEntries = ['entry-0', 'entry-1', 'entry-2', 'entry-3'];
const scenarios: readonly Scenario[] = [
  {name: 'near 70%', utilization: 0.7, entries: nearEntries, slowHosts: 0},
  {name: 'near 70%, one entry', utilization: 0.7, entries: ['entry-0'], slowHosts: 0},
  {name: 'near 50%, two slow hosts', utilization: 0.5, entries: nearEntries, slowHosts: 2},
  {name: 'far 70%', utilization: 0.7, entries: ['entry-far'], slowHosts: 0},
];

/** Returns the size of a message in bytes, encoded as on a real connection. */
function getWireSize(message: ModelMessage, from: number): number {
  return encodeFrame(message, from).length;
}

function runRouting(scenario: Scenario, policy: string, seed: number): RunResult {
  const loop = new VirtualLoop();
  const place = (name: string, i: number) => ({
    name,
    dataCentre: i % 2 === 0 ? 'v1' : 'v2',
    region: 'v',
  });
  const fleet = new RequestFleet(loop, {
    seed,
    entries: [...nearEntries.map(place), {name: 'entry-far', dataCentre: 'a1', region: 'a'}],
    hosts: Array.from({length: hostCount}, (_, i) => place(`host-${i}`, i)),
    configuration,
    backend: {
      services: ['lookup'],
      slots: slotsPerHost,
      connections: 64,
      processors: slotsPerHost,
      serviceMs: {lookup: meanServiceMs},
      deviation: 0.8,
      answerBytes: 200,
    },
    network: {wireSize: getWireSize},
    entrySettings: policies[policy],
  });
  for (let i = 0; i < scenario.slowHosts; i += 1) fleet.getBackendOrThrow(`host-${i}`).slowness = 4;
  const rate = (scenario.utilization * hostCount * slotsPerHost * 1000) / meanServiceMs;
  const callerLoad = new CallerLoad(
    fleet,
    {
      service: 'lookup',
      entries: scenario.entries,
      method: 'GET',
      rate: () => rate,
      timeoutMs: 2000,
      bodyBytes: 0,
      callerRetries: 0,
      callerRetryMs: 0,
      clientLatencyMs: 3,
    },
    seed,
  );
  loop.runUntil(endMs);
  return {scenario: scenario.name, policy, measures: getMeasures(fleet, callerLoad, scenario)};
}

function getMeasures(fleet: RequestFleet, callerLoad: CallerLoad, scenario: Scenario): Measure[] {
  const statistics = getWindowStatistics(callerLoad.samples, 2000, endMs - 1000);
  const received = fleet.getCount('requests-received');
  const createMeasure = (name: string, unit: string, value: number, target?: Target): Measure => ({
    name,
    unit,
    value,
    target,
  });
  const measures = [
    createMeasure('goodput', 'ratio', statistics.goodput, {atLeast: 0.99}),
    createMeasure('p50', 'ms', statistics.p50Ms),
    createMeasure('p99', 'ms', statistics.p99Ms),
    createMeasure('p99.9', 'ms', statistics.p999Ms),
    createMeasure('hedges', 'ratio', fleet.getCount('requests-hedged') / received, {atMost: 0.05}),
    createMeasure('retries', 'ratio', fleet.getCount('retries') / received, {atMost: 0.1}),
  ];
  if (scenario.entries[0] !== 'entry-far') return measures;
  const {data, payload, control} = fleet.network.traffic;
  // Both directions of the link together can carry 5000 bytes per millisecond.
  const controlShare = control / (5000 * endMs);
  measures.push(
    createMeasure('bytes beyond payload', 'per request', (data - payload) / received, {atMost: 64}),
    createMeasure('control on the link', 'ratio', controlShare, {atMost: 0.01}),
  );
  return measures;
}

/** Host selection by several entries with stale load reports, and bytes on the link between regions. */
export const routingExperiment: Experiment = {
  name: 'routing',
  title: 'Routing over many entries, hedging, bytes between regions',
  seeds: [21, 22, 23],
  run(seed) {
    return scenarios.flatMap(scenario =>
      Object.keys(policies).map(policy => runRouting(scenario, policy, seed)),
    );
  },
};

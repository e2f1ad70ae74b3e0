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
  getWindowFigures,
  type ModelMessage,
} from '../harness/index.js';
import type {Experiment, Measure, RunResult, Target} from './experiment.js';

const slotsPerHost = 8;
const hostCount = 12;
const meanMs = 20;
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

const policies: Readonly<Record<string, Partial<EntryRequestsSettings>>> = {
  current: {},
  'baseline no hedging': {hedgeRatio: 0},
  'baseline random': {hostPick: new RandomPick(), hedgeRatio: 0},
  'baseline least reported': {hostPick: new LeastReportedPick(), hedgeRatio: 0},
};

interface Scenario {
  readonly name: string;
  /** Part of the slots that the load keeps busy. */
  readonly load: number;
  readonly entries: readonly string[];
  readonly slowHosts: number;
}

const near = ['entry-0', 'entry-1', 'entry-2', 'entry-3'];
const scenarios: readonly Scenario[] = [
  {name: 'near 70%', load: 0.7, entries: near, slowHosts: 0},
  {name: 'near 70%, one entry', load: 0.7, entries: ['entry-0'], slowHosts: 0},
  {name: 'near 50%, two slow hosts', load: 0.5, entries: near, slowHosts: 2},
  {name: 'far 70%', load: 0.7, entries: ['entry-far'], slowHosts: 0},
];

/** Size of a message as the framing of the processes encodes it. */
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
    entries: [...near.map(place), {name: 'entry-far', dataCentre: 'a1', region: 'a'}],
    hosts: Array.from({length: hostCount}, (_, i) => place(`host-${i}`, i)),
    configuration,
    backend: {
      services: ['lookup'],
      slots: slotsPerHost,
      connections: 64,
      processors: slotsPerHost,
      serviceMs: {lookup: meanMs},
      deviation: 0.8,
      answerBytes: 200,
    },
    network: {wireSize: getWireSize},
    entrySettings: policies[policy],
  });
  for (let i = 0; i < scenario.slowHosts; i += 1) fleet.getBackendOrThrow(`host-${i}`).slowness = 4;
  const rate = (scenario.load * hostCount * slotsPerHost * 1000) / meanMs;
  const load = new CallerLoad(
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
      clientMs: 3,
    },
    seed,
  );
  loop.runUntil(endMs);
  return {scenario: scenario.name, policy, measures: getMeasures(fleet, load, scenario)};
}

function getMeasures(fleet: RequestFleet, load: CallerLoad, scenario: Scenario): Measure[] {
  const figures = getWindowFigures(load.samples, 2000, endMs - 1000);
  const received = fleet.getCount('requests-received');
  const measure = (name: string, unit: string, value: number, target?: Target): Measure => ({
    name,
    unit,
    value,
    target,
  });
  const measures = [
    measure('goodput', 'ratio', figures.goodput, {atLeast: 0.99}),
    measure('p50', 'ms', figures.p50Ms),
    measure('p99', 'ms', figures.p99Ms),
    measure('p99.9', 'ms', figures.p999Ms),
    measure('hedges', 'ratio', fleet.getCount('requests-hedged') / received, {atMost: 0.05}),
    measure('retries', 'ratio', fleet.getCount('retries') / received, {atMost: 0.1}),
  ];
  if (scenario.entries[0] !== 'entry-far') return measures;
  const {data, payload, control} = fleet.network.traffic;
  // Both directions of the link together carry 5000 bytes a millisecond.
  const controlPart = control / (5000 * endMs);
  measures.push(
    measure('bytes beyond payload', 'per request', (data - payload) / received, {atMost: 64}),
    measure('control on the link', 'ratio', controlPart, {atMost: 0.01}),
  );
  return measures;
}

/** Choice of hosts by several entries on stale reports, and bytes on the link. */
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

import {
  RandomPick,
  type Configuration,
  type EntryRequestsSettings,
  type Workload,
} from '@chervilbeam/coordination';
import {CallerLoad, RequestFleet, VirtualLoop, getWindowFigures} from '../harness/index.js';
import type {Experiment, Measure, RunResult, Target} from './experiment.js';

const slotsPerHost = 8;
const hostCount = 8;
const serviceMs = {lookup: 20, transfer: 20};
const [faultMs, healMs, endMs] = [5000, 11_000, 20_000];
const load = 0.5;

function workload(name: string, slots: number): [string, Workload] {
  const resources = {processors: 1000, memoryMb: 1000, accelerators: 0, slots: 8};
  const grant = {slots, processors: 0};
  const rest = {team: 'registry', urgency: 'urgent', grant, resources, tasks: 1} as const;
  return [name, {kind: 'service', name, ...rest}];
}

const configuration: Configuration = {
  version: 1,
  workloads: new Map([workload('lookup', 32), workload('transfer', 12)]),
  teams: new Map(),
  drains: new Set(),
};

const policies: Readonly<Record<string, Partial<EntryRequestsSettings>>> = {
  current: {},
  'baseline no hedging': {hedgeRatio: 0},
  'baseline random': {hostPick: new RandomPick(), hedgeRatio: 0},
};

type Fault = (fleet: RequestFleet, loop: VirtualLoop) => void;

/** Changes the behaviour of a backend server while the fault lasts. */
function disturb(change: 'hang' | 'cut' | 'refuse' | 'slow'): Fault {
  return (fleet, loop) => {
    const backend = fleet.getBackendOrThrow('host-0');
    loop.after(faultMs, () => {
      if (change === 'slow') backend.slowness = 10;
      else backend.mode = change;
    });
    loop.after(healMs, () => {
      backend.slowness = 1;
      backend.mode = 'normal';
    });
  };
}

/** Three of eight hosts die within a second and come back later. */
function killWave(fleet: RequestFleet, loop: VirtualLoop): void {
  for (const i of [0, 1, 2]) {
    loop.after(faultMs + i * 400, () => fleet.kill(`host-${i}`));
    loop.after(healMs + i * 400, () => fleet.restart(`host-${i}`));
  }
}

/** Each host is drained in turn, ends when it reports so, and comes back. */
function drainInTurn(fleet: RequestFleet, loop: VirtualLoop): void {
  for (let i = 0; i < hostCount; i += 1) {
    const name = `host-${i}`;
    loop.after(faultMs + i * 1500, () => fleet.drain(name));
    let ended = false;
    loop.every(50, () => {
      if (!fleet.isDrained(name) || ended) return !ended;
      ended = true;
      fleet.kill(name);
      loop.after(500, () => fleet.restart(name));
      return false;
    });
  }
}

interface Scenario {
  readonly name: string;
  readonly fault: Fault;
  readonly lookupGoodput: Target;
  readonly transferGoodput: Target;
}

const scenarios: readonly Scenario[] = [
  {
    name: 'one host 10 times slower',
    fault: disturb('slow'),
    lookupGoodput: {atLeast: 0.999},
    transferGoodput: {atLeast: 0.999},
  },
  {
    name: 'one host never answers',
    fault: disturb('hang'),
    lookupGoodput: {atLeast: 0.999},
    transferGoodput: {atLeast: 0.98},
  },
  {
    name: 'one host cuts every exchange',
    fault: disturb('cut'),
    lookupGoodput: {atLeast: 0.999},
    transferGoodput: {atLeast: 0.98},
  },
  {
    name: 'one host refuses connections',
    fault: disturb('refuse'),
    lookupGoodput: {atLeast: 0.999},
    transferGoodput: {atLeast: 0.999},
  },
  {
    name: 'three of eight hosts die',
    fault: killWave,
    lookupGoodput: {atLeast: 0.999},
    transferGoodput: {atLeast: 0.99},
  },
  {
    name: 'every host is drained in turn',
    fault: drainInTurn,
    lookupGoodput: {atLeast: 1},
    transferGoodput: {atLeast: 1},
  },
];

function runFailure(scenario: Scenario, policy: string, seed: number): RunResult {
  const loop = new VirtualLoop();
  const place = (name: string, i: number) => ({
    name,
    dataCentre: i % 2 === 0 ? 'v1' : 'v2',
    region: 'v',
  });
  const fleet = new RequestFleet(loop, {
    seed,
    entries: ['entry-0', 'entry-1'].map(place),
    hosts: Array.from({length: hostCount}, (_, i) => place(`host-${i}`, i)),
    configuration,
    backend: {
      services: Object.keys(serviceMs),
      slots: slotsPerHost,
      connections: 64,
      processors: slotsPerHost,
      serviceMs,
      deviation: 0.4,
      answerBytes: 200,
    },
    entrySettings: policies[policy],
  });
  scenario.fault(fleet, loop);
  const rate = (load * hostCount * slotsPerHost * 1000) / 20;
  const caller = {entries: ['entry-0', 'entry-1'], timeoutMs: 2000, bodyBytes: 0, clientMs: 3};
  const start = (service: string, method: string, part: number) =>
    new CallerLoad(
      fleet,
      {...caller, service, method, rate: () => rate * part, callerRetries: 0, callerRetryMs: 0},
      seed * 17 + part * 10,
    );
  const lookup = start('lookup', 'GET', 0.8);
  const transfer = start('transfer', 'POST', 0.2);
  loop.runUntil(endMs);
  const measures = getMeasures(scenario, fleet, lookup, transfer);
  return {scenario: scenario.name, policy, measures};
}

function getMeasures(
  scenario: Scenario,
  fleet: RequestFleet,
  lookup: CallerLoad,
  transfer: CallerLoad,
): Measure[] {
  const quiet = getWindowFigures(lookup.samples, 2000, faultMs);
  const during = getWindowFigures(lookup.samples, faultMs, healMs);
  const after = getWindowFigures(lookup.samples, endMs - 4000, endMs - 2000);
  const transfers = getWindowFigures(transfer.samples, faultMs, healMs);
  const unknown = transfer.samples.filter(s => s.outcome === 'unknown').length;
  const received = fleet.getCount('requests-received');
  const ratio = (name: string, value: number, target?: Target): Measure => ({
    name,
    unit: 'ratio',
    value,
    target,
  });
  return [
    ratio('lookup goodput', during.goodput, scenario.lookupGoodput),
    ratio('transfer goodput', transfers.goodput, scenario.transferGoodput),
    {name: 'transfers unknown', unit: 'requests', value: unknown},
    {name: 'lookup p99', unit: 'ms', value: during.p99Ms},
    ratio('lookup p99 / quiet', during.p99Ms / quiet.p99Ms),
    ratio('lookup p99.9 / quiet', during.p999Ms / quiet.p999Ms),
    ratio('p99 after', after.p99Ms / quiet.p99Ms, {atMost: 1.2}),
    ratio('retries', fleet.getCount('retries') / received, {atMost: 0.1}),
  ];
}

/** Slow, half-dead and dying backend servers, and drains. */
export const failuresExperiment: Experiment = {
  name: 'failures',
  title: 'Slow, half-dead and dying backend servers, and rolling drains',
  seeds: [31, 32, 33],
  run(seed) {
    return scenarios.flatMap(scenario =>
      Object.keys(policies).map(policy => runFailure(scenario, policy, seed)),
    );
  },
};

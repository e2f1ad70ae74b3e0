import {
  RandomPick,
  type Configuration,
  type EntryRequestsSettings,
  type Workload,
} from '@chervilbeam/coordination';
import {CallerLoad, RequestFleet, VirtualLoop, getWindowStatistics} from '../harness/index.js';
import type {Experiment, Measure, RunResult, Target} from './experiment.js';

const slotsPerHost = 8;
const hostCount = 8;
/** Mean service time of a request, by service. */
const serviceMs = {lookup: 20, transfer: 20};
const [faultStartMs, faultEndMs, endMs] = [5000, 11_000, 20_000];
const utilization = 0.5;

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

/** Settings of the entries: the current ones and those of the baselines. */
const policies: Readonly<Record<string, Partial<EntryRequestsSettings>>> = {
  current: {},
  'baseline no hedging': {hedgeRatio: 0},
  'baseline random': {hostPick: new RandomPick(), hedgeRatio: 0},
};

/** Schedules a fault in a fleet. */
type FaultInjector = (fleet: RequestFleet, loop: VirtualLoop) => void;

/** Returns a fault that changes the behaviour of one backend server until `faultEndMs`. */
function createBackendFault(change: 'hang' | 'cut' | 'refuse' | 'slow'): FaultInjector {
  return (fleet, loop) => {
    const backend = fleet.getBackendOrThrow('host-0');
    loop.after(faultStartMs, () => {
      if (change === 'slow') backend.slowness = 10;
      else backend.mode = change;
    });
    loop.after(faultEndMs, () => {
      backend.slowness = 1;
      backend.mode = 'normal';
    });
  };
}

/** Kills three of eight hosts at intervals of 400 ms and restarts them at the same intervals. */
function killThreeHosts(fleet: RequestFleet, loop: VirtualLoop): void {
  for (const i of [0, 1, 2]) {
    loop.after(faultStartMs + i * 400, () => fleet.kill(`host-${i}`));
    loop.after(faultEndMs + i * 400, () => fleet.restart(`host-${i}`));
  }
}

/** Drains a host every 1.5 s; each is killed once it is drained, and restarted 500 ms later. */
function drainHostsInTurn(fleet: RequestFleet, loop: VirtualLoop): void {
  for (let i = 0; i < hostCount; i += 1) {
    const name = `host-${i}`;
    loop.after(faultStartMs + i * 1500, () => fleet.drain(name));
    let isKilled = false;
    loop.every(50, () => {
      if (!fleet.isDrained(name) || isKilled) return !isKilled;
      isKilled = true;
      fleet.kill(name);
      loop.after(500, () => fleet.restart(name));
      return false;
    });
  }
}

interface Scenario {
  readonly name: string;
  readonly injectFault: FaultInjector;
  readonly lookupGoodput: Target;
  readonly transferGoodput: Target;
}

const scenarios: readonly Scenario[] = [
  {
    name: 'one host 10 times slower',
    injectFault: createBackendFault('slow'),
    lookupGoodput: {atLeast: 0.999},
    transferGoodput: {atLeast: 0.999},
  },
  {
    name: 'one host never answers',
    injectFault: createBackendFault('hang'),
    lookupGoodput: {atLeast: 0.999},
    transferGoodput: {atLeast: 0.98},
  },
  {
    name: 'one host cuts every exchange',
    injectFault: createBackendFault('cut'),
    lookupGoodput: {atLeast: 0.999},
    transferGoodput: {atLeast: 0.98},
  },
  {
    name: 'one host refuses connections',
    injectFault: createBackendFault('refuse'),
    lookupGoodput: {atLeast: 0.999},
    transferGoodput: {atLeast: 0.999},
  },
  {
    name: 'three of eight hosts die',
    injectFault: killThreeHosts,
    lookupGoodput: {atLeast: 0.999},
    transferGoodput: {atLeast: 0.99},
  },
  {
    name: 'every host is drained in turn',
    injectFault: drainHostsInTurn,
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
  scenario.injectFault(fleet, loop);
  const rate = (utilization * hostCount * slotsPerHost * 1000) / 20;
  const callerOptions = {
    entries: ['entry-0', 'entry-1'],
    timeoutMs: 2000,
    bodyBytes: 0,
    clientLatencyMs: 3,
  };
  const start = (service: string, method: string, rateShare: number) =>
    new CallerLoad(
      fleet,
      {
        ...callerOptions,
        service,
        method,
        rate: () => rate * rateShare,
        callerRetries: 0,
        callerRetryMs: 0,
      },
      seed * 17 + rateShare * 10,
    );
  const lookupLoad = start('lookup', 'GET', 0.8);
  const transferLoad = start('transfer', 'POST', 0.2);
  loop.runUntil(endMs);
  const measures = getMeasures(scenario, fleet, lookupLoad, transferLoad);
  return {scenario: scenario.name, policy, measures};
}

function getMeasures(
  scenario: Scenario,
  fleet: RequestFleet,
  lookupLoad: CallerLoad,
  transferLoad: CallerLoad,
): Measure[] {
  const beforeFault = getWindowStatistics(lookupLoad.samples, 2000, faultStartMs);
  const duringFault = getWindowStatistics(lookupLoad.samples, faultStartMs, faultEndMs);
  const after = getWindowStatistics(lookupLoad.samples, endMs - 4000, endMs - 2000);
  const transfersDuringFault = getWindowStatistics(transferLoad.samples, faultStartMs, faultEndMs);
  const unknown = transferLoad.samples.filter(s => s.outcome === 'unknown').length;
  const received = fleet.getCount('requests-received');
  const createRatio = (name: string, value: number, target?: Target): Measure => ({
    name,
    unit: 'ratio',
    value,
    target,
  });
  return [
    createRatio('lookup goodput', duringFault.goodput, scenario.lookupGoodput),
    createRatio('transfer goodput', transfersDuringFault.goodput, scenario.transferGoodput),
    {name: 'transfers unknown', unit: 'requests', value: unknown},
    {name: 'lookup p99', unit: 'ms', value: duringFault.p99Ms},
    createRatio('lookup p99 / quiet', duringFault.p99Ms / beforeFault.p99Ms),
    createRatio('lookup p99.9 / quiet', duringFault.p999Ms / beforeFault.p999Ms),
    createRatio('p99 after', after.p99Ms / beforeFault.p99Ms, {atMost: 1.2}),
    createRatio('retries', fleet.getCount('retries') / received, {atMost: 0.1}),
  ];
}

/** Goodput and latency with slow, hanging, failing and killed backend servers, and during drains. */
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

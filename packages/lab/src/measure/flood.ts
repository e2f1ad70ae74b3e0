import {
  EqualOrder,
  FirstComeOrder,
  InstantOrder,
  UrgencyOrder,
  type Configuration,
  type EntryRequestsSettings,
  type Urgency,
  type Workload,
  type WorkloadKind,
} from '@chervilbeam/coordination';
import {
  CallerLoad,
  RequestFleet,
  VirtualLoop,
  getWindowStatistics,
  type WindowStatistics,
} from '../harness/index.js';
import type {Experiment, Measure, RunResult, Series, Target} from './experiment.js';

/** Mean service time of a request, by service. */
const serviceMs = {alert: 20, lookup: 20, watch: 20, proof: 100};
type Service = keyof typeof serviceMs;

const slotsPerHost = 8;
const hostCount = 4;
const slots = slotsPerHost * hostCount;
const [floodStartMs, floodEndMs, endMs] = [6000, 12_000, 22_000];
/** Mean number of slots that the base load of each service keeps busy; each is within the grant of its workload. */
const baseLoadSlots: Record<Service, number> = {alert: 2, lookup: 10, watch: 2, proof: 4};
const services = Object.keys(serviceMs) as Service[];

function workload(
  name: Service,
  team: string,
  kind: WorkloadKind,
  urgency: Urgency,
  grant: number,
): [string, Workload] {
  const resources = {processors: 1000, memoryMb: 1000, accelerators: 0, slots: 8};
  const rest = {grant: {slots: grant, processors: 0}, resources, tasks: 1};
  return [name, {kind, name, team, urgency, ...rest}];
}

const configuration: Configuration = {
  version: 1,
  workloads: new Map([
    workload('alert', 'safety', 'service', 'critical', 4),
    workload('lookup', 'registry', 'service', 'urgent', 12),
    workload('watch', 'registry', 'watch', 'normal', 4),
    workload('proof', 'print', 'batch', 'background', 8),
  ]),
  teams: new Map(),
  drains: new Set(),
};

/** Flooded services by the name of the flood. */
const floodedServicesByName: Readonly<Record<string, readonly Service[]>> = {
  'least urgent': ['proof'],
  'most urgent': ['alert'],
  both: ['proof', 'alert'],
  'one kind': ['watch'],
};

/** Settings of the entries: the current ones and those of the baselines. */
const policies: Readonly<Record<string, Partial<EntryRequestsSettings>>> = {
  current: {},
  'baseline previous': {queue: {order: new InstantOrder()}},
  'baseline first-come': {queue: {order: new FirstComeOrder(), standingMs: Infinity}},
  'baseline urgency': {queue: {order: new UrgencyOrder()}},
  'baseline equal': {queue: {order: new EqualOrder()}},
  'baseline unlearned': {learnLimits: false},
};

/** Which services are flooded, by how much, and what their callers do. */
export interface FloodScenario {
  readonly flood: string;
  /** Offered work during the flood as a multiple of the capacity of all slots. */
  readonly capacityMultiple: number;
  /** Whether the callers are in the region of the hosts. */
  readonly hasNearbyCallers?: boolean;
  /** Number of retries that callers make, each 50 ms after a failure; absent for 2 retries after 300 ms each. */
  readonly rapidRetries?: number;
}

/** Creates the fleet of the flood experiments; `measureCost` adds up the real time spent in reducers. */
export function createFloodFleet(policy: string, seed: number, measureCost = false): RequestFleet {
  return new RequestFleet(new VirtualLoop(), {
    seed,
    measureCost,
    entries: [
      {name: 'entry-far', dataCentre: 'a1', region: 'a'},
      {name: 'entry-1', dataCentre: 'v1', region: 'v'},
      {name: 'entry-2', dataCentre: 'v2', region: 'v'},
    ],
    hosts: Array.from({length: hostCount}, (_, i) => ({
      name: `host-${i}`,
      dataCentre: i % 2 === 0 ? 'v1' : 'v2',
      region: 'v',
    })),
    configuration,
    backend: {
      services,
      slots: slotsPerHost,
      connections: 64,
      processors: slotsPerHost,
      serviceMs,
      deviation: 0.4,
      answerBytes: 200,
    },
    entrySettings: policies[policy],
  });
}

/** Adds callers of all services; the flooded services get the extra rate of the scenario during the flood. */
export function addCallerLoads(
  fleet: RequestFleet,
  scenario: FloodScenario,
  seed: number,
): CallerLoad[] {
  const floodedServices = floodedServicesByName[scenario.flood]!;
  const entries = scenario.hasNearbyCallers ? ['entry-1', 'entry-2'] : ['entry-far'];
  const retryOptions = scenario.rapidRetries
    ? {callerRetries: scenario.rapidRetries, callerRetryMs: 50}
    : {callerRetries: 2, callerRetryMs: 300};
  return services.map((service, i) => {
    const base = (baseLoadSlots[service] * 1000) / serviceMs[service];
    const extra = floodedServices.includes(service)
      ? (scenario.capacityMultiple * slots * 1000) / serviceMs[service] / floodedServices.length
      : 0;
    const rate = (at: number) => (at >= floodStartMs && at < floodEndMs ? base + extra : base);
    const options = {service, entries, method: 'GET', rate, timeoutMs: 2000};
    const caller = {bodyBytes: 100, clientLatencyMs: 3, ...retryOptions};
    return new CallerLoad(fleet, {...options, ...caller}, seed * 31 + i);
  });
}

/** Runs one flood. Callers and their entry are in another region than the hosts unless `hasNearbyCallers` is set. */
export function runFlood(scenario: FloodScenario, policy: string, seed: number): RunResult {
  const fleet = createFloodFleet(policy, seed);
  const {loop} = fleet;
  const loads = addCallerLoads(fleet, scenario, seed);
  const floodedServices = floodedServicesByName[scenario.flood]!;
  const busy: number[] = [];
  for (const at of [floodStartMs + 1000, floodEndMs, endMs]) {
    loop.runUntil(at);
    busy.push(fleet.getBusyMs());
  }
  const measures = getMeasures(loads, floodedServices, fleet);
  const meanBusySlots = (busy[1]! - busy[0]!) / (floodEndMs - floodStartMs - 1000);
  measures.push(
    {name: 'slots in use', unit: 'ratio', value: meanBusySlots / slots, target: {atLeast: 0.9}},
    getGoodput(loads),
  );
  const nameSuffix = scenario.hasNearbyCallers
    ? ', near callers'
    : scenario.rapidRetries
      ? ', impatient callers'
      : '';
  const name = `${scenario.flood} x${scenario.capacityMultiple}${nameSuffix}`;
  return {scenario: name, policy, measures, series: [getLatencySeries(loads[1]!)]};
}

/** Returns the slot time of the requests answered in the flood, without its first second, as a share of all slots. */
function getGoodput(loads: readonly CallerLoad[]): Measure {
  let slotMs = 0;
  const [from, to] = [floodStartMs + 1000, floodEndMs];
  for (const {samples, options} of loads) {
    const done = samples.filter(s => {
      const end = s.startedAt + s.latencyMs;
      return s.outcome === 'answered' && end >= from && end < to;
    });
    slotMs += done.length * serviceMs[options.service as Service];
  }
  const value = slotMs / (to - from) / slots;
  return {name: 'goodput of capacity', unit: 'ratio', value, target: {atLeast: 0.9}};
}

/** Returns the p99, or the p95 if the window has fewer than 500 answers, too few for a stable p99. */
function getTailMs(statistics: WindowStatistics): number {
  return statistics.answered >= 500 ? statistics.p99Ms : statistics.p95Ms;
}

/** Returns the measures of the worst service within its grant, and of the flooded services. */
function getMeasures(
  loads: readonly CallerLoad[],
  floodedServices: readonly Service[],
  fleet: RequestFleet,
): Measure[] {
  const worst = {goodput: 1, p99: 0, p999: 0, after: 0, goodputAfter: 1};
  let floodGoodput = 1;
  for (const {options, samples} of loads) {
    const beforeFlood = getWindowStatistics(samples, 2000, floodStartMs);
    const duringFlood = getWindowStatistics(samples, floodStartMs, floodEndMs);
    const after = getWindowStatistics(samples, floodEndMs + 5000, endMs - 2500);
    worst.after = Math.max(worst.after, getTailMs(after) / getTailMs(beforeFlood));
    worst.goodputAfter = Math.min(worst.goodputAfter, after.goodput);
    if (floodedServices.includes(options.service as Service)) {
      floodGoodput = Math.min(floodGoodput, duringFlood.goodput);
      continue;
    }
    worst.goodput = Math.min(worst.goodput, duringFlood.goodput);
    worst.p99 = Math.max(worst.p99, duringFlood.p99Ms / beforeFlood.p99Ms);
    worst.p999 = Math.max(worst.p999, duringFlood.p999Ms / beforeFlood.p999Ms);
  }
  const createRatio = (name: string, value: number, target?: Target): Measure => ({
    name,
    unit: 'ratio',
    value,
    target,
  });
  const late = fleet.getCount('answers-late') - fleet.getCount('requests-hedged');
  const received = fleet.getCount('requests-received');
  const answered = Math.max(1, fleet.getCount('requests-answered'));
  return [
    createRatio('granted goodput', worst.goodput, {atLeast: 0.95}),
    createRatio('granted p99 / quiet', worst.p99, {atMost: 1.5}),
    createRatio('granted p99.9 / quiet', worst.p999),
    createRatio('flooded goodput', floodGoodput),
    createRatio('tail 5 s after', worst.after, {atMost: 1.2}),
    createRatio('goodput 5 s after', worst.goodputAfter, {atLeast: 0.99}),
    // The slower attempt of a hedged request also counts as a late answer, although its caller did not give up.
    createRatio('work for nobody', Math.max(0, late) / answered, {atMost: 0.01}),
    createRatio('retries', fleet.getCount('retries') / received, {atMost: 0.1}),
    {name: 'link messages', unit: 'per answer', value: fleet.network.traffic.messages / answered},
  ];
}

/** Returns the p99 latency in each half second. */
function getLatencySeries(load: CallerLoad): Series {
  const points: Array<readonly [number, number]> = [];
  for (let at = 0; at < endMs; at += 500) {
    points.push([at, getWindowStatistics(load.samples, at, at + 500).p99Ms]);
  }
  return {name: `${load.options.service} p99`, unit: 'ms', points};
}

/** Compares admission policies when one or two services are flooded. */
export const floodExperiment: Experiment = {
  name: 'flood',
  title: 'Floods of 2, 5 and 20 times the capacity',
  seeds: [11, 12, 13],
  run(seed) {
    const results: RunResult[] = [];
    for (const flood of Object.keys(floodedServicesByName)) {
      for (const times of [2, 5, 20]) {
        for (const policy of Object.keys(policies)) {
          // The baselines run at 5 times the capacity only, to keep the experiment short.
          if (policy !== 'current' && times !== 5) continue;
          results.push(runFlood({flood, capacityMultiple: times}, policy, seed));
        }
      }
    }
    for (const policy of Object.keys(policies)) {
      results.push(
        runFlood({flood: 'both', capacityMultiple: 5, hasNearbyCallers: true}, policy, seed),
      );
      results.push(runFlood({flood: 'both', capacityMultiple: 5, rapidRetries: 8}, policy, seed));
    }
    return results;
  },
};

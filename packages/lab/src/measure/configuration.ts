import type {ConfigurationOperation} from '@chervilbeam/coordination';
import {
  ConfigurationFleet,
  getDataCentres,
  presentDataCentres,
  type FleetOptions,
  type FleetProcess,
  type FleetStoreFaults,
} from '../fleet/index.js';
import type {Experiment, Measure, RunResult} from './experiment.js';

/** Time within which a change is in force everywhere. */
const inForceTarget = {atMost: 5000};

/** One change each 19.2 s is 4,500 a day. */
const changeIntervalMs = 86_400_000 / 4500;

/** Share of the link of 20 Mbit/s that control may use: 1%, as bytes per second. */
const controlBytesPerSecond = {atMost: 25_000};

const settleMs = 5000;

const future = getDataCentres(24, 7);
const noFaults = {lostAnswers: 0, lateWrites: 0, staleReads: 0, slowMs: 0};
const manyFaults = {lostAnswers: 0.2, lateWrites: 0, staleReads: 0.1, slowMs: 500};

interface Deployment {
  readonly name: string;
  readonly options: FleetOptions;
}

const deployments: readonly Deployment[] = [
  {name: '3 data centres', options: {dataCentres: presentDataCentres, agentsPerDataCentre: 4}},
  {name: '24 data centres', options: {dataCentres: future, agentsPerDataCentre: 6}},
];

function createFleet(options: FleetOptions, seed: number): ConfigurationFleet {
  const fleet = new ConfigurationFleet({...options, seed});
  fleet.run(settleMs);
  return fleet;
}

/** A change of a usual size: a batch job is set. */
function getOperations(index: number): ConfigurationOperation[] {
  const workload = {
    kind: 'batch' as const,
    name: `proofs-${index % 2000}`,
    team: `team-${index % 340}`,
    urgency: 'background' as const,
    grant: {slots: 0, processors: 0},
    resources: {processors: 4000, memoryMb: 8000, accelerators: 0, slots: 0},
    tasks: 20 + index,
    runTimeSeconds: 600,
    dateMs: 1_800_000_000_000,
    checkpointSeconds: 60,
  };
  return [{kind: 'put-workload', workload}];
}

function pick(fleet: ConfigurationFleet): FleetProcess {
  return fleet.entries[Math.floor(fleet.random.below(fleet.entries.length))] as FleetProcess;
}

function getPercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Times of changes confirmed one after the other, while entries die or store calls fail. */
function runInForce(
  deployment: Deployment,
  scenario: string,
  faults: FleetStoreFaults,
  killsWatchers: boolean,
  seed: number,
): RunResult {
  const fleet = createFleet(deployment.options, seed);
  fleet.store.faults = faults;
  const delays: number[] = [];
  let missing = 0;
  const count = 40;
  for (let index = 0; index < count; index++) {
    const entry = pick(fleet);
    if (killsWatchers) killWatcher(fleet, entry);
    const startedAt = fleet.time.now;
    fleet.confirm(entry, `change-${index}`, getOperations(index));
    fleet.run(12_000);
    const answer = fleet.confirmations.find(c => c.planId === `change-${index}`)?.answer;
    if (answer?.outcome !== 'accepted') continue;
    const at = fleet.getInForceAt(answer.version ?? 0, startedAt);
    if (at === undefined) missing++;
    else delays.push(at - startedAt);
  }
  const outcomes = fleet.confirmations.filter(c => c.answer.outcome === 'accepted').length;
  return {
    scenario: `in force, ${deployment.name}, ${scenario}`,
    policy: 'chervilbeam',
    measures: [
      {name: 'median confirm to in force', unit: 'ms', value: getPercentile(delays, 0.5)},
      {
        name: 'longest confirm to in force',
        unit: 'ms',
        value: Math.max(...delays),
        target: inForceTarget,
      },
      {name: 'accepted', unit: `of ${count}`, value: outcomes},
      {name: 'accepted, not in force after 12 s', unit: '', value: missing, target: {atMost: 0}},
    ],
  };
}

/** Kills the entry that holds the watch of a data centre other than that of the confirming entry. */
function killWatcher(fleet: ConfigurationFleet, confirming: FleetProcess): void {
  const others = fleet.entries.filter(entry => entry.dataCentre !== confirming.dataCentre);
  const place = (others[Math.floor(fleet.random.below(others.length))] as FleetProcess).dataCentre;
  const entries = others.filter(entry => entry.dataCentre === place);
  entries.sort((a, b) => a.getHello().incarnation - b.getHello().incarnation);
  const watcher = entries[0] as FleetProcess;
  fleet.kill(watcher, 1);
  fleet.time.schedule(8000, () => fleet.restart(watcher));
}

const callPolicies: ReadonlyArray<{name: string; watchWaitMs: number; everyEntry: boolean}> = [
  {name: 'chervilbeam (wait 4 s)', watchWaitMs: 4000, everyEntry: false},
  {name: 'baseline wait 60 s', watchWaitMs: 60_000, everyEntry: false},
  {name: 'baseline every entry watches', watchWaitMs: 4000, everyEntry: true},
];

/** Store calls in quiet and per change against the number of data centres. */
function runStoreCalls(count: number, seed: number): RunResult[] {
  return callPolicies.map(({name, watchWaitMs, everyEntry}) => {
    const dataCentres = everyEntry
      ? getDataCentres(count * 2, Math.min(count, 7))
      : getDataCentres(count, Math.min(count, 7));
    const entriesPerDataCentre = everyEntry ? 1 : 2;
    const options = {dataCentres, entriesPerDataCentre, agentsPerDataCentre: 1, watchWaitMs};
    const fleet = createFleet(options, seed);
    fleet.run(60_000);
    const quietFrom = fleet.time.now;
    fleet.run(120_000);
    const quietCalls = fleet.store.getCalls(quietFrom, fleet.time.now);
    const busyFrom = fleet.time.now;
    const changes = 20;
    for (let index = 0; index < changes; index++) {
      fleet.confirm(pick(fleet), `change-${index}`, getOperations(index));
      fleet.run(6000);
    }
    const busyMs = fleet.time.now - busyFrom;
    const busyCalls = fleet.store.getCalls(busyFrom, fleet.time.now);
    const perSecond = quietCalls / 120;
    return {
      scenario: `store calls, ${count} data centres`,
      policy: name,
      measures: [
        {name: 'calls in quiet', unit: 'per s', value: perSecond},
        {
          name: 'calls beyond quiet',
          unit: 'per change',
          value: (busyCalls - (perSecond * busyMs) / 1000) / changes,
        },
      ],
    };
  });
}

/** Bytes between regions at 4,500 changes a day, over 100 changes or half an hour. */
function runBytes(deployment: Deployment, compactAtChanges: number, seed: number): RunResult {
  const options = {...deployment.options, agentsPerDataCentre: 0, compactAtChanges, tickMs: 250};
  const fleet = createFleet(options, seed);
  fleet.run(10_000);
  const quietFrom = fleet.traffic.storeBytes + fleet.traffic.relayBytes;
  fleet.run(60_000);
  const quiet = (fleet.traffic.storeBytes + fleet.traffic.relayBytes - quietFrom) / 60;
  // The head begins anywhere between two compactions.
  for (let index = 0; index < 100; index++) {
    fleet.confirm(fleet.entries[0] as FleetProcess, `fill-${index}`, getOperations(index));
    fleet.run(1000);
  }
  const {storeBytes, relayBytes} = fleet.traffic;
  const changes = 100;
  const from = fleet.time.now;
  for (let index = 0; index < changes; index++) {
    fleet.confirm(pick(fleet), `change-${index}`, getOperations(100 + index));
    fleet.run(changeIntervalMs);
  }
  const seconds = (fleet.time.now - from) / 1000;
  const store = fleet.traffic.storeBytes - storeBytes;
  const relay = fleet.traffic.relayBytes - relayBytes;
  const size = JSON.stringify(getOperations(100)).length;
  return {
    scenario: `bytes, ${deployment.name}`,
    policy: `${compactAtChanges === 16 ? 'chervilbeam' : 'baseline'} compaction at ${compactAtChanges}`,
    measures: [
      {name: 'between regions in quiet', unit: 'B/s', value: quiet},
      {
        name: 'between regions at 4,500 changes a day',
        unit: 'B/s',
        value: (store + relay) / seconds,
        target: controlBytesPerSecond,
      },
      {
        name: `beyond quiet for a change of ${size} B`,
        unit: 'B per change',
        value: (store + relay - quiet * seconds) / changes,
      },
      {name: 'of which relay', unit: 'B per change', value: relay / changes},
    ],
  };
}

/** Bytes between regions with many workloads, whose snapshots the owner writes from another region. */
function runLargeBytes(compactAtChanges: number, seed: number): RunResult {
  const workloads = 2000;
  const options = {dataCentres: future, agentsPerDataCentre: 0, tickMs: 250, compactAtChanges};
  const fleet = createFleet({...options, isOwnerRemote: true}, seed);
  fleet.run(10_000);
  for (let first = 0; first < workloads; first += 250) {
    const operations = Array.from({length: 250}, (_, index) => getOperations(first + index));
    fleet.confirm(fleet.entries[0] as FleetProcess, `fill-${first}`, operations.flat());
    fleet.run(5000);
  }
  for (let index = 0; index < 100; index++) {
    fleet.confirm(fleet.entries[0] as FleetProcess, `warm-${index}`, getOperations(index));
    fleet.run(1000);
  }
  const from = fleet.time.now;
  const before = fleet.traffic.storeBytes + fleet.traffic.relayBytes;
  const count = 100;
  for (let index = 0; index < count; index++) {
    fleet.confirm(pick(fleet), `change-${index}`, getOperations(index));
    fleet.run(changeIntervalMs);
  }
  const bytes = fleet.traffic.storeBytes + fleet.traffic.relayBytes - before;
  const value = bytes / ((fleet.time.now - from) / 1000);
  const target = controlBytesPerSecond;
  return {
    scenario: `bytes, 24 data centres, ${workloads} workloads, owner in another region`,
    policy: `${compactAtChanges === 16 ? 'chervilbeam' : 'baseline'} compaction at ${compactAtChanges}`,
    measures: [
      {name: 'between regions at 4,500 changes a day', unit: 'B/s', value, target},
      {name: 'workloads in force', unit: '', value: pick(fleet).view.configuration.workloads.size},
      {
        name: 'accepted',
        unit: `of ${count}`,
        value: (fleet.store.getHead()?.version ?? 0) - workloads / 250 - 100,
      },
    ],
  };
}

/** All processes restart with the store down. */
function runRestart(keepsAgents: boolean, seed: number): RunResult {
  const fleet = createFleet({dataCentres: future, agentsPerDataCentre: 6}, seed);
  for (let index = 0; index < 20; index++) {
    fleet.confirm(fleet.entries[0] as FleetProcess, `fill-${index}`, getOperations(index));
    fleet.run(500);
  }
  fleet.run(5000);
  fleet.store.setDown(true);
  const dead = fleet.processes.filter(process => !keepsAgents || process.role === 'entry');
  for (const process of dead) fleet.kill(process);
  fleet.run(1000);
  for (const process of dead) fleet.restart(process);
  const restartedAt = fleet.time.now;
  fleet.run(30_000);
  const before = fleet.getInForceAt(20);
  const returnedAt = fleet.time.now;
  if (!keepsAgents) fleet.store.setDown(false);
  fleet.run(10_000);
  const measures: Measure[] = [];
  const at = fleet.getInForceAt(20) ?? Number.POSITIVE_INFINITY;
  if (keepsAgents) {
    const value = (before ?? Number.POSITIVE_INFINITY) - restartedAt;
    measures.push({name: 'restart to in force', unit: 'ms', value, target: inForceTarget});
  } else {
    const value = at - returnedAt;
    measures.push({name: 'store return to in force', unit: 'ms', value, target: inForceTarget});
    const busiest = fleet.store.getBusiestSlot(returnedAt, returnedAt + 5000) * 10;
    measures.push({name: 'busiest 100 ms of calls', unit: 'calls/s', value: busiest});
  }
  const scenario = keepsAgents
    ? 'all 48 entries restart, store down, agents live'
    : 'all 192 processes restart, store down, then back';
  return {scenario, policy: 'chervilbeam', measures};
}

/** The store is down for a time; an operator confirms again each second until it is accepted. */
function runOutage(durationMs: number, hangs: boolean, seed: number): RunResult {
  const options = {dataCentres: future, agentsPerDataCentre: 0, tickMs: 250};
  const fleet = createFleet(options, seed);
  fleet.confirm(fleet.entries[0] as FleetProcess, 'before', getOperations(0));
  fleet.run(5000);
  fleet.store.isHanging = hangs;
  fleet.store.setDown(true);
  const downAt = fleet.time.now;
  fleet.run(durationMs);
  const during = fleet.store.getCalls(downAt, fleet.time.now);
  const heldVersion = Math.min(...fleet.processes.map(process => process.version));
  fleet.store.setDown(false);
  const returnedAt = fleet.time.now;
  let at: number | undefined;
  for (let attempt = 0; at === undefined && attempt < 20; attempt++) {
    const isAccepted = fleet.confirmations.some(
      ({planId, answer}) => planId === 'after' && answer.outcome === 'accepted',
    );
    if (!isAccepted) fleet.confirm(pick(fleet), 'after', getOperations(1), 1);
    fleet.run(1000);
    at = fleet.getInForceAt(2);
  }
  return {
    scenario: `outage of ${durationMs / 1000} s, ${hangs ? 'no answers' : 'refused'}`,
    policy: 'chervilbeam',
    measures: [
      {name: 'lowest version held', unit: '', value: heldVersion, target: {atLeast: 1}},
      {name: 'calls during the outage', unit: 'per s', value: during / (durationMs / 1000)},
      {
        name: 'busiest 100 ms after the return',
        unit: 'calls/s',
        value: fleet.store.getBusiestSlot(returnedAt, returnedAt + 5000) * 10,
      },
      {
        name: 'return to next change in force',
        unit: 'ms',
        value: (at ?? Number.POSITIVE_INFINITY) - returnedAt,
        target: inForceTarget,
      },
    ],
  };
}

/** Configuration: time to in force, store calls, bytes between regions, restarts and outages. */
export const configurationExperiment: Experiment = {
  name: 'configuration',
  title: 'Configuration changes over the real reducers',
  seeds: [1, 2, 3],
  run: seed => [
    ...deployments.flatMap(deployment => [
      runInForce(deployment, 'no faults', noFaults, false, seed),
      runInForce(deployment, 'store faults', manyFaults, false, seed),
      runInForce(deployment, 'watchers die', noFaults, true, seed),
    ]),
    ...[3, 6, 12, 24].flatMap(count => runStoreCalls(count, seed)),
    ...deployments.flatMap(deployment =>
      [8, 16, 32, 100].map(at => runBytes(deployment, at, seed)),
    ),
    ...[8, 16, 32, 100].map(at => runLargeBytes(at, seed)),
    runRestart(true, seed),
    runRestart(false, seed),
    ...[2000, 30_000, 300_000, 3_600_000].map(ms => runOutage(ms, false, seed)),
    runOutage(30_000, true, seed),
  ],
};

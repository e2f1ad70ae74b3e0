import type {ConfigurationOperation} from '@chervilbeam/coordination';
import {
  ConfigurationFleet,
  createDataCentres,
  currentDataCentres,
  type FleetOptions,
  type FleetProcess,
  type FleetStoreFaults,
} from '../fleet/index.js';
import type {Experiment, Measure, RunResult} from './experiment.js';

/** Time in milliseconds within which a change must be in force in all processes. */
const inForceTargetMs = {atMost: 5000};

/** 4,500 changes a day, one every 19.2 s. */
const changeIntervalMs = 86_400_000 / 4500;

/** Bytes per second that control traffic may use: 1% of a link of 20 Mbit/s. */
const controlBytesPerSecondTarget = {atMost: 25_000};

const settleMs = 5000;

const futureDataCentres = createDataCentres(24, 7);
const noStoreFaults = {lostAnswers: 0, lateWrites: 0, staleReads: 0, slowMs: 0};
const someStoreFaults = {lostAnswers: 0.2, lateWrites: 0, staleReads: 0.1, slowMs: 500};

interface Deployment {
  readonly name: string;
  readonly options: FleetOptions;
}

const deployments: readonly Deployment[] = [
  {name: '3 data centres', options: {dataCentres: currentDataCentres, agentsPerDataCentre: 4}},
  {name: '24 data centres', options: {dataCentres: futureDataCentres, agentsPerDataCentre: 6}},
];

function createFleet(options: FleetOptions, seed: number): ConfigurationFleet {
  const fleet = new ConfigurationFleet({...options, seed});
  fleet.run(settleMs);
  return fleet;
}

/** Returns a change of typical size, which creates or replaces one batch job. */
function createOperations(index: number): ConfigurationOperation[] {
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

function pickEntry(fleet: ConfigurationFleet): FleetProcess {
  return fleet.entries[Math.floor(fleet.random.below(fleet.entries.length))] as FleetProcess;
}

function getQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}

/** Measures how long successive changes take to come into force, with store faults and, optionally, killed watchers. */
function measureTimeToInForce(
  deployment: Deployment,
  scenario: string,
  faults: FleetStoreFaults,
  shouldKillWatchers: boolean,
  seed: number,
): RunResult {
  const fleet = createFleet(deployment.options, seed);
  fleet.store.faults = faults;
  const delaysMs: number[] = [];
  let notInForceCount = 0;
  const count = 40;
  for (let index = 0; index < count; index++) {
    const entry = pickEntry(fleet);
    if (shouldKillWatchers) killWatcher(fleet, entry);
    const startedAt = fleet.time.now;
    fleet.confirm(entry, `change-${index}`, createOperations(index));
    fleet.run(12_000);
    const answer = fleet.confirmations.find(
      confirmation => confirmation.planId === `change-${index}`,
    )?.answer;
    if (answer?.outcome !== 'accepted') continue;
    const at = fleet.getInForceAt(answer.version ?? 0, startedAt);
    if (at === undefined) notInForceCount++;
    else delaysMs.push(at - startedAt);
  }
  const acceptedCount = fleet.confirmations.filter(
    confirmation => confirmation.answer.outcome === 'accepted',
  ).length;
  return {
    scenario: `in force, ${deployment.name}, ${scenario}`,
    policy: 'chervilbeam',
    measures: [
      {name: 'median confirm to in force', unit: 'ms', value: getQuantile(delaysMs, 0.5)},
      {
        name: 'longest confirm to in force',
        unit: 'ms',
        value: Math.max(...delaysMs),
        target: inForceTargetMs,
      },
      {name: 'accepted', unit: `of ${count}`, value: acceptedCount},
      {
        name: 'accepted, not in force after 12 s',
        unit: '',
        value: notInForceCount,
        target: {atMost: 0},
      },
    ],
  };
}

/**
 * Kills the watcher of a random data centre, excluding the data centre of the confirming entry, and restarts it 8 s
 * later. The watcher of a data centre is its entry with the lowest incarnation.
 */
function killWatcher(fleet: ConfigurationFleet, confirming: FleetProcess): void {
  const others = fleet.entries.filter(entry => entry.dataCentre !== confirming.dataCentre);
  const dataCentre = (others[Math.floor(fleet.random.below(others.length))] as FleetProcess)
    .dataCentre;
  const entries = others.filter(entry => entry.dataCentre === dataCentre);
  entries.sort((a, b) => a.getHello().incarnation - b.getHello().incarnation);
  const watcher = entries[0] as FleetProcess;
  fleet.kill(watcher, 1);
  fleet.time.schedule(8000, () => fleet.restart(watcher));
}

/**
 * Policies for watching the store. `areAllEntriesWatchers` is simulated by one entry in each of twice as many data
 * centres, because one entry of each data centre watches.
 */
const watchPolicies: ReadonlyArray<{
  name: string;
  watchWaitMs: number;
  areAllEntriesWatchers: boolean;
}> = [
  {name: 'chervilbeam (wait 4 s)', watchWaitMs: 4000, areAllEntriesWatchers: false},
  {name: 'baseline wait 60 s', watchWaitMs: 60_000, areAllEntriesWatchers: false},
  {name: 'baseline every entry watches', watchWaitMs: 4000, areAllEntriesWatchers: true},
];

/** Measures the store calls per second without changes, and the additional calls per change. */
function measureStoreCalls(count: number, seed: number): RunResult[] {
  return watchPolicies.map(({name, watchWaitMs, areAllEntriesWatchers}) => {
    const dataCentres = areAllEntriesWatchers
      ? createDataCentres(count * 2, Math.min(count, 7))
      : createDataCentres(count, Math.min(count, 7));
    const entriesPerDataCentre = areAllEntriesWatchers ? 1 : 2;
    const options = {dataCentres, entriesPerDataCentre, agentsPerDataCentre: 1, watchWaitMs};
    const fleet = createFleet(options, seed);
    fleet.run(60_000);
    const idleFrom = fleet.time.now;
    fleet.run(120_000);
    const idleCalls = fleet.store.getCalls(idleFrom, fleet.time.now);
    const changesFrom = fleet.time.now;
    const changes = 20;
    for (let index = 0; index < changes; index++) {
      fleet.confirm(pickEntry(fleet), `change-${index}`, createOperations(index));
      fleet.run(6000);
    }
    const changesMs = fleet.time.now - changesFrom;
    const changesCalls = fleet.store.getCalls(changesFrom, fleet.time.now);
    const idleCallsPerSecond = idleCalls / 120;
    return {
      scenario: `store calls, ${count} data centres`,
      policy: name,
      measures: [
        {name: 'calls in quiet', unit: 'per s', value: idleCallsPerSecond},
        {
          name: 'calls beyond quiet',
          unit: 'per change',
          value: (changesCalls - (idleCallsPerSecond * changesMs) / 1000) / changes,
        },
      ],
    };
  });
}

/** Measures the bytes between regions over 100 changes at 4,500 changes a day, about half an hour. */
function measureBytes(deployment: Deployment, compactAtChanges: number, seed: number): RunResult {
  const options = {...deployment.options, agentsPerDataCentre: 0, compactAtChanges, tickMs: 250};
  const fleet = createFleet(options, seed);
  fleet.run(10_000);
  const bytesBeforeIdle = fleet.traffic.storeBytes + fleet.traffic.relayBytes;
  fleet.run(60_000);
  const idleBytesPerSecond =
    (fleet.traffic.storeBytes + fleet.traffic.relayBytes - bytesBeforeIdle) / 60;
  // Fills the head first, so that the measurement starts at an arbitrary point between two compactions.
  for (let index = 0; index < 100; index++) {
    fleet.confirm(fleet.entries[0] as FleetProcess, `fill-${index}`, createOperations(index));
    fleet.run(1000);
  }
  const {storeBytes: storeBytesBefore, relayBytes: relayBytesBefore} = fleet.traffic;
  const changes = 100;
  const from = fleet.time.now;
  for (let index = 0; index < changes; index++) {
    fleet.confirm(pickEntry(fleet), `change-${index}`, createOperations(100 + index));
    fleet.run(changeIntervalMs);
  }
  const seconds = (fleet.time.now - from) / 1000;
  const store = fleet.traffic.storeBytes - storeBytesBefore;
  const changesRelayBytes = fleet.traffic.relayBytes - relayBytesBefore;
  const changeBytes = JSON.stringify(createOperations(100)).length;
  return {
    scenario: `bytes, ${deployment.name}`,
    policy: `${compactAtChanges === 16 ? 'chervilbeam' : 'baseline'} compaction at ${compactAtChanges}`,
    measures: [
      {name: 'between regions in quiet', unit: 'B/s', value: idleBytesPerSecond},
      {
        name: 'between regions at 4,500 changes a day',
        unit: 'B/s',
        value: (store + changesRelayBytes) / seconds,
        target: controlBytesPerSecondTarget,
      },
      {
        name: `beyond quiet for a change of ${changeBytes} B`,
        unit: 'B per change',
        value: (store + changesRelayBytes - idleBytesPerSecond * seconds) / changes,
      },
      {name: 'of which relay', unit: 'B per change', value: changesRelayBytes / changes},
    ],
  };
}

/** Measures the bytes between regions with many workloads, whose snapshots an owner in another region writes. */
function measureBytesWithManyWorkloads(compactAtChanges: number, seed: number): RunResult {
  const workloads = 2000;
  const options = {
    dataCentres: futureDataCentres,
    agentsPerDataCentre: 0,
    tickMs: 250,
    compactAtChanges,
  };
  const fleet = createFleet({...options, isOwnerRemote: true}, seed);
  fleet.run(10_000);
  for (let first = 0; first < workloads; first += 250) {
    const operations = Array.from({length: 250}, (_, index) => createOperations(first + index));
    fleet.confirm(fleet.entries[0] as FleetProcess, `fill-${first}`, operations.flat());
    fleet.run(5000);
  }
  for (let index = 0; index < 100; index++) {
    fleet.confirm(fleet.entries[0] as FleetProcess, `warm-${index}`, createOperations(index));
    fleet.run(1000);
  }
  const from = fleet.time.now;
  const bytesBefore = fleet.traffic.storeBytes + fleet.traffic.relayBytes;
  const count = 100;
  for (let index = 0; index < count; index++) {
    fleet.confirm(pickEntry(fleet), `change-${index}`, createOperations(index));
    fleet.run(changeIntervalMs);
  }
  const bytes = fleet.traffic.storeBytes + fleet.traffic.relayBytes - bytesBefore;
  const value = bytes / ((fleet.time.now - from) / 1000);
  const target = controlBytesPerSecondTarget;
  return {
    scenario: `bytes, 24 data centres, ${workloads} workloads, owner in another region`,
    policy: `${compactAtChanges === 16 ? 'chervilbeam' : 'baseline'} compaction at ${compactAtChanges}`,
    measures: [
      {name: 'between regions at 4,500 changes a day', unit: 'B/s', value, target},
      {
        name: 'workloads in force',
        unit: '',
        value: pickEntry(fleet).view.configuration.workloads.size,
      },
      {
        name: 'accepted',
        unit: `of ${count}`,
        value: (fleet.store.getHead()?.version ?? 0) - workloads / 250 - 100,
      },
    ],
  };
}

/**
 * Restarts all entries while the store is down, and also the agents unless `shouldKeepAgents` is set. Measures the time
 * until the configuration is in force again: from the restart, or from the return of the store if no agent kept it.
 */
function measureRestart(shouldKeepAgents: boolean, seed: number): RunResult {
  const fleet = createFleet({dataCentres: futureDataCentres, agentsPerDataCentre: 6}, seed);
  for (let index = 0; index < 20; index++) {
    fleet.confirm(fleet.entries[0] as FleetProcess, `fill-${index}`, createOperations(index));
    fleet.run(500);
  }
  fleet.run(5000);
  fleet.store.setDown(true);
  const restarted = fleet.processes.filter(
    process => !shouldKeepAgents || process.role === 'entry',
  );
  for (const process of restarted) fleet.kill(process);
  fleet.run(1000);
  for (const process of restarted) fleet.restart(process);
  const restartedAt = fleet.time.now;
  fleet.run(30_000);
  const inForceBeforeReturnAt = fleet.getInForceAt(20);
  const storeReturnedAt = fleet.time.now;
  if (!shouldKeepAgents) fleet.store.setDown(false);
  fleet.run(10_000);
  const measures: Measure[] = [];
  const at = fleet.getInForceAt(20) ?? Number.POSITIVE_INFINITY;
  if (shouldKeepAgents) {
    const value = (inForceBeforeReturnAt ?? Number.POSITIVE_INFINITY) - restartedAt;
    measures.push({name: 'restart to in force', unit: 'ms', value, target: inForceTargetMs});
  } else {
    const value = at - storeReturnedAt;
    measures.push({name: 'store return to in force', unit: 'ms', value, target: inForceTargetMs});
    const busiestCallsPerSecond =
      fleet.store.getPeakCalls(storeReturnedAt, storeReturnedAt + 5000) * 10;
    measures.push({name: 'busiest 100 ms of calls', unit: 'calls/s', value: busiestCallsPerSecond});
  }
  const scenario = shouldKeepAgents
    ? 'all 48 entries restart, store down, agents live'
    : 'all 192 processes restart, store down, then back';
  return {scenario, policy: 'chervilbeam', measures};
}

/** Takes the store down; afterwards an operator confirms a change every second until it is accepted, for up to 20 s. */
function measureOutage(durationMs: number, isHanging: boolean, seed: number): RunResult {
  const options = {dataCentres: futureDataCentres, agentsPerDataCentre: 0, tickMs: 250};
  const fleet = createFleet(options, seed);
  fleet.confirm(fleet.entries[0] as FleetProcess, 'before', createOperations(0));
  fleet.run(5000);
  fleet.store.isHanging = isHanging;
  fleet.store.setDown(true);
  const downAt = fleet.time.now;
  fleet.run(durationMs);
  const callsDuringOutage = fleet.store.getCalls(downAt, fleet.time.now);
  const lowestVersion = Math.min(...fleet.processes.map(process => process.version));
  fleet.store.setDown(false);
  const storeReturnedAt = fleet.time.now;
  let at: number | undefined;
  for (let attempt = 0; at === undefined && attempt < 20; attempt++) {
    const isAccepted = fleet.confirmations.some(
      ({planId, answer}) => planId === 'after' && answer.outcome === 'accepted',
    );
    if (!isAccepted) fleet.confirm(pickEntry(fleet), 'after', createOperations(1), 1);
    fleet.run(1000);
    at = fleet.getInForceAt(2);
  }
  return {
    scenario: `outage of ${durationMs / 1000} s, ${isHanging ? 'no answers' : 'refused'}`,
    policy: 'chervilbeam',
    measures: [
      {name: 'lowest version held', unit: '', value: lowestVersion, target: {atLeast: 1}},
      {
        name: 'calls during the outage',
        unit: 'per s',
        value: callsDuringOutage / (durationMs / 1000),
      },
      {
        name: 'busiest 100 ms after the return',
        unit: 'calls/s',
        value: fleet.store.getPeakCalls(storeReturnedAt, storeReturnedAt + 5000) * 10,
      },
      {
        name: 'return to next change in force',
        unit: 'ms',
        value: (at ?? Number.POSITIVE_INFINITY) - storeReturnedAt,
        target: inForceTargetMs,
      },
    ],
  };
}

/** Configuration changes: time to in force, store calls, bytes between regions, restarts and outages. */
export const configurationExperiment: Experiment = {
  name: 'configuration',
  title: 'Configuration changes over the real reducers',
  seeds: [1, 2, 3],
  run: seed => [
    ...deployments.flatMap(deployment => [
      measureTimeToInForce(deployment, 'no faults', noStoreFaults, false, seed),
      measureTimeToInForce(deployment, 'store faults', someStoreFaults, false, seed),
      measureTimeToInForce(deployment, 'watchers die', noStoreFaults, true, seed),
    ]),
    ...[3, 6, 12, 24].flatMap(count => measureStoreCalls(count, seed)),
    ...deployments.flatMap(deployment =>
      [8, 16, 32, 100].map(at => measureBytes(deployment, at, seed)),
    ),
    ...[8, 16, 32, 100].map(at => measureBytesWithManyWorkloads(at, seed)),
    measureRestart(true, seed),
    measureRestart(false, seed),
    ...[2000, 30_000, 300_000, 3_600_000].map(ms => measureOutage(ms, false, seed)),
    measureOutage(30_000, true, seed),
  ],
};

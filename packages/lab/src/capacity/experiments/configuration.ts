import {
  ConfigurationView,
  createPlan,
  type Configuration,
  type ConfigurationChange,
  type ConfigurationEffect,
  type Workload,
} from '@chervilbeam/coordination';
import {SimulatedNetwork} from '../../faults/kernel/simulated-network.js';
import {SimulatedStore} from '../../faults/kernel/simulated-store.js';
import {Simulation} from '../../faults/kernel/simulation.js';
import {
  ConfigurationProcess,
  type ConfigurationMessage,
} from '../../faults/worlds/configuration-process.js';
import type {CapacityExperiment} from '../experiment.js';
import {getFrameBytes, measureHeapBytes, measureMs, passThroughCodec} from '../meters.js';
import {createBatch, createConfiguration, createHello, sizesInTwoYears} from '../sizes.js';

const measuredChanges = 50;

function createChange(version: number, workloads: readonly Workload[]): ConfigurationChange {
  return {
    version,
    changeId: `change-${version}-00112233445566778899`,
    author: 'operator@example.org',
    operations: workloads.map(workload => ({kind: 'put-workload', workload})),
  };
}

/** Creates a view that has applied a whole configuration, split into twenty changes. */
function createView(configuration: Configuration): ConfigurationView {
  const view = new ConfigurationView({
    ...({role: 'entry', name: 'e0', dataCentre: 'dc1', region: 'r1'} as const),
    ...{incarnation: 1, seed: 1},
  });
  const workloads = [...configuration.workloads.values()];
  const workloadsPerChange = Math.ceil(workloads.length / 20);
  const changes = Array.from({length: 20}, (_, i) =>
    createChange(i + 1, workloads.slice(i * workloadsPerChange, (i + 1) * workloadsPerChange)),
  );
  // Workloads refer to teams, so the first change adds all teams.
  const teams = [...configuration.teams.values()].map(team => ({kind: 'put-team', team}) as const);
  changes[0] = {...changes[0]!, operations: [...teams, ...changes[0]!.operations]};
  const value = {version: 20, snapshot: null, previousSnapshot: null, changes};
  view.reduce({kind: 'head', value: JSON.parse(JSON.stringify(value)), revision: 5}, 0);
  return view;
}

function getSentBytes(effects: readonly ConfigurationEffect[], peer: string): number {
  let bytes = 0;
  for (const effect of effects) {
    if (effect.kind === 'send' && effect.peer === peer) bytes += getFrameBytes(effect.message);
  }
  return bytes;
}

/** Cost of the configuration in one process by the number of workloads. */
export const configurationSize: CapacityExperiment = {
  name: 'configuration by workloads',
  role: 'entry',
  driver: 'workloads in the configuration',
  sizes: [100, 1_000, 2_000, 4_000, 8_000, 16_000],
  today: 100,
  inTwoYears: sizesInTwoYears.workloads,
  metrics: {
    stateBytes: {unit: 'B', mechanism: 'each process holds the whole configuration'},
    changeMs: {unit: 'ms', mechanism: 'the map of workloads is copied at each change'},
    changeBytes: {unit: 'B', mechanism: 'a change is sent whole to each connected agent'},
    transferBytes: {unit: 'B', mechanism: 'snapshot for a process that starts with nothing'},
    transferMs: {unit: 'ms', mechanism: 'snapshot built and encoded for one process'},
    planMs: {unit: 'ms', mechanism: 'plan of one change: copies, comparisons and digests'},
    planBytes: {unit: 'B', mechanism: 'operations and effects of one change'},
  },
  measure(size) {
    const configuration = createConfiguration(size, 1, 340);
    const {value: view, bytes} = measureHeapBytes(() => createView(configuration));
    const hello = createHello('h0', 'agent', 'dc1', 'r1', 9);
    let transferBytes = 0;
    const transferMs = measureMs(() => {
      transferBytes = getSentBytes(view.reduce({kind: 'peer-up', peer: 'h0', hello}, 1), 'h0');
    });
    let changeBytes = 0;
    const changeMs = measureMs(() => {
      for (let i = 0; i < measuredChanges; i++) {
        const change = createChange(21 + i, [createBatch(`added-${i}`, 100)]);
        const head = {
          version: 21 + i,
          snapshot: {version: 20 + i, parts: 1},
          previousSnapshot: null,
        };
        const value = {...head, changes: [change]};
        const effects = view.reduce({kind: 'head', value, revision: 6 + i}, 2 + i);
        for (const effect of effects) {
          if (effect.kind === 'send') changeBytes += passThroughCodec(effect.message);
        }
      }
    });
    const intent = {
      operator: 'operator',
      workloads: [createBatch('planned', 100)],
      teams: [],
      drains: [],
      cancel: [],
    };
    let planBytes = 0;
    const planMs = measureMs(() => {
      const result = createPlan(view.configuration, intent, 'plan-1', 'intent.json');
      planBytes = result.ok ? JSON.stringify(result.plan).length : 0;
    });
    return {
      stateBytes: bytes,
      changeMs: changeMs / measuredChanges,
      changeBytes: changeBytes / measuredChanges,
      transferBytes,
      transferMs,
      planMs,
      planBytes,
    };
  },
};

const settleMs = 10_000;
const measuredMs = 40_000;

/** Store calls and messages between regions, without changes and for one change, by the number of data centres. */
export const configurationFleet: CapacityExperiment = {
  name: 'configuration by data centres',
  role: 'store',
  driver: 'data centres with two entries each',
  sizes: [3, 6, 12, 24],
  today: 3,
  inTwoYears: sizesInTwoYears.dataCentres,
  metrics: {
    callsPerSecond: {unit: '1/s', mechanism: 'one waiting watch of 4 s a data centre'},
    changeCalls: {unit: '', mechanism: 'a watch returns in each data centre, the head is swapped'},
    regionBytes: {unit: 'B/s', mechanism: 'nothing crosses regions while the store answers'},
    changeSeconds: {unit: 's', mechanism: 'swap, watch in each data centre, relay inside it'},
  },
  measure(size, seed) {
    const simulation = new Simulation(seed + 1);
    const store = new SimulatedStore(simulation);
    const network = new SimulatedNetwork<ConfigurationMessage>(simulation, {});
    let bytesBetweenRegions = 0;
    const processes = Array.from({length: size * 2}, (_, i) => {
      const place = {dataCentre: `dc${i >> 1}`, region: `r${(i >> 1) % 7}`, tickMs: 50};
      const options = {...place, name: `e${i}`, role: 'entry' as const};
      const operator = {repeat: () => {}, isInDoubt: () => false};
      return new ConfigurationProcess(simulation, options, network, store, i === 0, operator);
    });
    const send = network.send.bind(network);
    network.send = (from, to, message, body) => {
      const [a, b] = [from, to].map(name => processes[Number(name.slice(1))]!.options.region);
      if (a !== b && message.kind !== 'heartbeat') bytesBetweenRegions += getFrameBytes(message);
      send(from, to, message, body);
    };
    for (const [i, a] of processes.entries()) {
      for (const b of processes.slice(i + 1)) network.link(a, b, 1.5);
      simulation.schedule(simulation.random.between(0, 1_000), () => a.start());
    }
    simulation.runUntil(settleMs);
    const countCalls = () => [...store.calls.values()].reduce((sum, calls) => sum + calls, 0);
    const callsBeforeIdle = countCalls();
    bytesBetweenRegions = 0;
    simulation.runUntil(settleMs + measuredMs);
    const idleCallsPerSecond = ((countCalls() - callsBeforeIdle) / measuredMs) * 1_000;
    const idleBytesPerSecond = (bytesBetweenRegions / measuredMs) * 1_000;
    const callsBeforeChange = countCalls();
    const at = simulation.now;
    const change = createChange(0, [createBatch('added', 100)]);
    const {author, operations} = change;
    processes[0]!.confirm({planId: 'p', baseVersion: 0, author, operations});
    while (processes.some(process => process.version < 1) && simulation.now < at + 20_000) {
      simulation.runUntil(simulation.now + 10);
    }
    const seconds = (simulation.now - at) / 1_000;
    return {
      callsPerSecond: idleCallsPerSecond,
      changeCalls: countCalls() - callsBeforeChange,
      regionBytes: idleBytesPerSecond,
      changeSeconds: seconds,
    };
  },
};

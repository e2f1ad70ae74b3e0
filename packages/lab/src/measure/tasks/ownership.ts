import type {Workload} from '@chervilbeam/coordination';
import {RandomSource, VirtualFleet, watchDuplicateRuns} from '../../cell/index.js';
import type {Experiment, Measure, RunResult} from '../experiment.js';

const entries = [
  {name: 'entry-w1', dataCentre: 'west'},
  {name: 'entry-w2', dataCentre: 'west'},
  {name: 'entry-e1', dataCentre: 'east'},
];
const capacity = {processors: 16_000, memoryMb: 60_000, accelerators: 0, slots: 8};

/** Functions that inject faults of the owner, the store and the network, by the name of the scenario. */
const faultInjectors: Readonly<
  Record<string, (fleet: VirtualFleet, random: RandomSource) => void>
> = {
  'owner dies': fleet => fleet.killEntry(fleet.owner?.registered.name ?? ''),
  'owner pauses': (fleet, random) => fleet.owner?.pause(2_000 + random.integer(20_000)),
  'store away for 60 s': fleet => {
    fleet.store.isDown = true;
    fleet.queue.after(60_000, () => {
      fleet.store.isDown = false;
    });
  },
  'store loses 5 answers': fleet => {
    fleet.store.loseAnswers = 5;
  },
  'owner loses the store': (fleet, random) => {
    const dataCentre = fleet.owner?.registered.dataCentre ?? '';
    fleet.setCutFromStore(dataCentre, true);
    fleet.queue.after(10_000 + random.integer(50_000), () =>
      fleet.setCutFromStore(dataCentre, false),
    );
  },
  'data centres part': (fleet, random) => {
    const dataCentre = random.next() < 0.5 ? 'west' : 'east';
    fleet.setPartitioned(dataCentre, true);
    fleet.setCutFromStore(dataCentre, true);
    fleet.queue.after(10_000 + random.integer(50_000), () => {
      fleet.setPartitioned(dataCentre, false);
      fleet.setCutFromStore(dataCentre, false);
    });
  },
};

const batchJob: Workload = {
  kind: 'batch',
  name: 'proofs',
  team: 'press',
  urgency: 'normal',
  grant: {slots: 0, processors: 0},
  resources: {processors: 4_000, memoryMb: 1_000, accelerators: 0, slots: 1},
  tasks: 120,
  runTimeSeconds: 20,
  checkpointSeconds: 5,
};

function runFault(seed: number, name: string): RunResult {
  const random = new RandomSource(seed);
  const drawClockRate = () => 1 + 0.005 * (2 * random.next() - 1);
  const fleet = new VirtualFleet({
    entries: entries.map(entry => ({...entry, clockRate: drawClockRate()})),
    hosts: Array.from({length: 6}, (_, number) => ({
      name: `host-${number}`,
      dataCentre: number < 3 ? 'west' : 'east',
      rack: `rack-${number % 2}`,
      capacity,
    })),
    getBehaviour: () => ({workMs: 20_000, checkpointIntervalMs: 5_000}),
  });
  const observed = watchDuplicateRuns(fleet.queue, fleet.hosts);
  fleet.queue.after(10_000, () => fleet.configure([batchJob]));
  const faultAtMs = 20_000 + random.integer(10_000);
  fleet.queue.after(faultAtMs, () => faultInjectors[name]?.(fleet, random));
  let ownerlessMs = 0;
  let longestOwnerlessMs = 0;
  fleet.queue.every(50, () => {
    ownerlessMs = fleet.owner ? 0 : ownerlessMs + 50;
    if (fleet.queue.now > faultAtMs) longestOwnerlessMs = Math.max(longestOwnerlessMs, ownerlessMs);
  });
  fleet.runUntil(300_000);
  const finished = fleet.owner?.scheduler.getState().jobs.get('proofs')?.finished ?? 0;
  const measures: Measure[] = [
    {name: 'tasks in two places', unit: 'samples', value: observed.duplicates, target: {atMost: 0}},
    {
      name: 'longest time without owner',
      unit: 's',
      value: longestOwnerlessMs / 1000,
      target: {atMost: 5},
    },
    {name: 'items finished', unit: 'of 120', value: finished, target: {atLeast: 120}},
    {name: 'starts', unit: '', value: fleet.starts},
    {name: 'store writes with leases', unit: '', value: fleet.store.writes},
  ];
  return {scenario: name, policy: 'leases, vouches, fence', measures};
}

/** Ownership of a cell under faults, with entries whose clocks run up to 0.5% fast or slow. */
export const ownershipExperiment: Experiment = {
  name: 'ownership',
  title: 'Ownership of a cell: takeover, hold and fence, 3 entries, 6 hosts',
  seeds: [1, 2, 3, 4, 5, 6, 7, 8],
  run: seed => Object.keys(faultInjectors).map(name => runFault(seed, name)),
};

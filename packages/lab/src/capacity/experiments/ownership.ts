import {SimulatedNetwork} from '../../faults/kernel/simulated-network.js';
import {SimulatedStore} from '../../faults/kernel/simulated-store.js';
import {Simulation} from '../../faults/kernel/simulation.js';
import {TaskEntry, type TaskMessage} from '../../faults/worlds/task-entry.js';
import type {CapacityExperiment} from '../experiment.js';

const settleMs = 10_000;
const measuredMs = 30_000;

/** Store calls of the entries that compete for the ownership of one cell, and the time of a takeover. */
export const ownershipEntries: CapacityExperiment = {
  name: 'cell ownership by contenders',
  role: 'store',
  driver: 'entries that compete for one cell',
  sizes: [2, 4, 8, 16, 48],
  today: 3,
  // Two entry hosts in the data centre of the cell.
  inTwoYears: 2,
  metrics: {
    readsPerSecond: {unit: '1/s', mechanism: 'each contender reads the owner key each second'},
    writesPerSecond: {unit: '1/s', mechanism: 'the owner renews its lease each second'},
    takeoverMs: {
      unit: 'ms',
      mechanism: 'expiry of the 3 s lease, then the next read by a contender',
    },
  },
  measure(size, seed) {
    const simulation = new Simulation(seed + 1);
    const store = new SimulatedStore(simulation);
    const network = new SimulatedNetwork<TaskMessage>(simulation, {});
    const entries = Array.from({length: size}, (_, i) => {
      const place = {dataCentre: `dc${i % 24}`, region: 'r1', tickMs: 100} as const;
      const options = {...place, name: `e${i}`, role: 'entry' as const};
      return new TaskEntry(simulation, options, network, store, () => {});
    });
    for (const entry of entries) {
      simulation.schedule(simulation.random.between(0, 1_000), () => entry.start());
    }
    simulation.runUntil(settleMs);
    const before = new Map(store.calls);
    simulation.runUntil(settleMs + measuredMs);
    const count = (...kinds: readonly string[]) =>
      kinds.reduce((sum, kind) => sum + (store.calls.get(kind) ?? 0) - (before.get(kind) ?? 0), 0);
    const readsPerSecond = (count('get') / measuredMs) * 1_000;
    const writes = count('put', 'delete', 'create-lease', 'renew-lease', 'delete-lease');
    const killedAt = simulation.now;
    entries.find(entry => entry.mode === 'owner')?.kill();
    while (!entries.some(entry => entry.mode === 'owner') && simulation.now < killedAt + 20_000) {
      simulation.runUntil(simulation.now + 10);
    }
    return {
      readsPerSecond,
      writesPerSecond: (writes / measuredMs) * 1_000,
      takeoverMs: simulation.now - killedAt,
    };
  },
};

import {faults} from '../faults/fault.js';
import {createCarriage, points} from '../faults/kernel/interaction.js';
import {SeededRandom} from '../faults/kernel/seeded-random.js';
import {worlds} from '../faults/protocols.js';
import {checkHistory} from './check-history.js';
import type {HistoryEvent} from './history-event.js';
import type {Violation} from './promise.js';

/** One concurrent run of a world under random faults. */
export interface MemoryRun {
  readonly world: string;
  readonly seed: number;
  readonly faults: readonly string[];
  readonly events: readonly HistoryEvent[];
  readonly violations: readonly Violation[];
}

/** Times between which faults strike, by world; the end leaves time for the longest fault. */
const strikeTimesMs: Readonly<Record<string, readonly [number, number]>> = {
  requests: [2_000, 11_000],
  tasks: [2_000, 50_000],
  configuration: [4_000, 30_000],
};

/** Runs a world in virtual time while random faults strike its parts, and checks what it recorded. */
export function runInMemory(world: string, seed: number, strikes: number): MemoryRun {
  const createWorld = worlds[world];
  const times = strikeTimesMs[world];
  if (!createWorld || !times) throw new RangeError(`No world is called ${world}`);
  const running = createWorld(seed);
  const random = new SeededRandom(seed ^ 0x5eed);
  const struck: string[] = [];
  for (let i = 0; i < strikes; i++) {
    const fault = random.pick(faults);
    const point = random.pick(points);
    running.simulation.schedule(random.between(...times), () => {
      const parts = [...running.processes.keys(), 'store'];
      const from = random.pick(parts);
      const to = random.pick(parts.filter(part => part !== from));
      const interaction = {step: 'random', point, from, to, carriage: createCarriage()};
      if (!fault.strike(running, interaction)) return;
      struck.push(`${fault.name}@${Math.round(running.simulation.now)}:${from}-${to}`);
    });
  }
  const events = running.run();
  return {world, seed, faults: struck, events, violations: checkHistory(events)};
}

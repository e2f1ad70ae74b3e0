import {faults} from '../faults/fault.js';
import {createDelivery, injectionPoints} from '../faults/kernel/interaction.js';
import {SeededRandom} from '../faults/kernel/seeded-random.js';
import {worlds} from '../faults/protocols.js';
import {checkHistory} from './check-history.js';
import type {HistoryEvent} from './history-event.js';
import type {Violation} from './promise.js';

/** Result of one simulated run of a world under random faults. */
export interface MemoryRun {
  readonly world: string;
  readonly seed: number;
  readonly faults: readonly string[];
  readonly events: readonly HistoryEvent[];
  readonly violations: readonly Violation[];
}

/** Time window in which faults are injected, by world; it ends early enough for the longest fault to end in the run. */
const faultWindowsMs: Readonly<Record<string, readonly [number, number]>> = {
  requests: [2_000, 11_000],
  tasks: [2_000, 50_000],
  configuration: [4_000, 30_000],
};

/**
 * Runs a world in virtual time, injects up to `faultCount` random faults, and checks the recorded events. A fault
 * that does not apply to the chosen processes is skipped. Throws a RangeError for an unknown world.
 */
export function runInMemory(world: string, seed: number, faultCount: number): MemoryRun {
  const createWorld = worlds[world];
  const faultWindow = faultWindowsMs[world];
  if (!createWorld || !faultWindow) throw new RangeError(`unknown world "${world}"`);
  const running = createWorld(seed);
  // Has its own seed, so that the choice of faults does not repeat the random sequence of the world.
  const random = new SeededRandom(seed ^ 0x5eed);
  const injectedFaults: string[] = [];
  for (let i = 0; i < faultCount; i++) {
    const fault = random.pick(faults);
    const point = random.pick(injectionPoints);
    running.simulation.schedule(random.between(...faultWindow), () => {
      const participants = [...running.processes.keys(), 'store'];
      const from = random.pick(participants);
      const to = random.pick(participants.filter(participant => participant !== from));
      const interaction = {step: 'random', point, from, to, delivery: createDelivery()};
      if (!fault.inject(running, interaction)) return;
      injectedFaults.push(`${fault.name}@${Math.round(running.simulation.now)}:${from}-${to}`);
    });
  }
  const events = running.run();
  return {world, seed, faults: injectedFaults, events, violations: checkHistory(events)};
}

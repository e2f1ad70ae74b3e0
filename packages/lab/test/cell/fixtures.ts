import type {Workload} from '@chervilbeam/coordination';
import type {EventQueue, VirtualHost} from '../../src/cell/index.js';

/** Capacity of every host in the tests. */
export const capacity = {processors: 16_000, memoryMb: 60_000, accelerators: 0, slots: 8};

/** Six hosts in two data centres, two racks each. */
export const hosts = [0, 1, 2, 3, 4, 5].map(number => ({
  name: `host-${number}`,
  dataCentre: number < 3 ? 'west' : 'east',
  rack: `rack-${number % 2}`,
  capacity,
}));

/** Returns a batch job with the given changes. */
export function createWorkload(change: Partial<Workload> & {readonly name: string}): Workload {
  return {
    kind: 'batch',
    team: 'press',
    urgency: 'normal',
    grant: {slots: 0, processors: 0},
    resources: {processors: 4_000, memoryMb: 1_000, accelerators: 0, slots: 1},
    tasks: 4,
    runTimeSeconds: 20,
    checkpointSeconds: 5,
    ...change,
  };
}

/** What was seen against the promises P1 and P2. */
export interface PlacementViolations {
  readonly duplicates: string[];
  readonly overloads: string[];
}

/** Samples the workers every 50 ms for tasks in two places and overloaded hosts. */
export function watchPlacement(
  queue: EventQueue,
  watched: ReadonlyMap<string, VirtualHost>,
): PlacementViolations {
  const seen: PlacementViolations = {duplicates: [], overloads: []};
  queue.every(50, () => {
    const places = new Map<string, string>();
    for (const host of watched.values()) {
      host.worker.advance(queue.now);
      let processors = 0;
      for (const task of host.worker.running) {
        const other = places.get(task.task);
        if (other)
          seen.duplicates.push(`${task.task} on ${other} and ${host.place.name} at ${queue.now}`);
        places.set(task.task, host.place.name);
        processors += task.resources.processors;
      }
      if (processors > capacity.processors) seen.overloads.push(host.place.name);
    }
  });
  return seen;
}

/** Number of running tasks whose id begins with a prefix. */
export function countRunning(watched: ReadonlyMap<string, VirtualHost>, prefix: string): number {
  let count = 0;
  for (const host of watched.values()) {
    count += host.worker.running.filter(task => task.task.startsWith(prefix)).length;
  }
  return count;
}

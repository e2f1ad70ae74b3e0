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

/** Returns a batch job of four tasks with the given fields replaced. */
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

/** Tasks that ran on two hosts at once, and hosts that were overloaded. */
export interface PlacementViolations {
  /** Tasks that ran on two hosts at once, with the hosts and the time. */
  readonly duplicates: string[];
  /** Hosts whose running tasks needed more processors than the host has. */
  readonly overloads: string[];
}

/** Samples the workers every 50 ms of virtual time for tasks on two hosts and for overloaded hosts. */
export function watchPlacement(
  queue: EventQueue,
  watched: ReadonlyMap<string, VirtualHost>,
): PlacementViolations {
  const violations: PlacementViolations = {duplicates: [], overloads: []};
  queue.every(50, () => {
    const hostByTask = new Map<string, string>();
    for (const host of watched.values()) {
      host.worker.advance(queue.now);
      let processors = 0;
      for (const task of host.worker.running) {
        const otherHost = hostByTask.get(task.task);
        if (otherHost)
          violations.duplicates.push(
            `${task.task} on ${otherHost} and ${host.place.name} at ${queue.now}`,
          );
        hostByTask.set(task.task, host.place.name);
        processors += task.resources.processors;
      }
      if (processors > capacity.processors) violations.overloads.push(host.place.name);
    }
  });
  return violations;
}

/** Returns the number of running tasks whose id starts with a prefix. */
export function countRunning(watched: ReadonlyMap<string, VirtualHost>, prefix: string): number {
  let count = 0;
  for (const host of watched.values()) {
    count += host.worker.running.filter(task => task.task.startsWith(prefix)).length;
  }
  return count;
}

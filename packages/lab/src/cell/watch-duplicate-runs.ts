import type {EventQueue} from './event-queue.js';
import type {VirtualHost} from './virtual-host.js';

/** Samples the workers every 50 ms of virtual time and counts the tasks that run on two hosts at once. */
export function watchDuplicateRuns(
  queue: EventQueue,
  hosts: ReadonlyMap<string, VirtualHost>,
): {readonly doubles: number} {
  const seen = {doubles: 0};
  queue.every(50, () => {
    const places = new Set<string>();
    for (const host of hosts.values()) {
      host.worker.advance(queue.now);
      for (const {task} of host.worker.running) {
        if (places.has(task)) seen.doubles += 1;
        places.add(task);
      }
    }
  });
  return seen;
}

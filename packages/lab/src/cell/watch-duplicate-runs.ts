import type {EventQueue} from './event-queue.js';
import type {VirtualHost} from './virtual-host.js';

/**
 * Samples the workers every 50 ms of virtual time. In each sample, counts the tasks that run on more than one host,
 * once for every host beyond the first.
 */
export function watchDuplicateRuns(
  queue: EventQueue,
  hosts: ReadonlyMap<string, VirtualHost>,
): {readonly duplicates: number} {
  const observed = {duplicates: 0};
  queue.every(50, () => {
    const seenTasks = new Set<string>();
    for (const host of hosts.values()) {
      host.worker.advance(queue.now);
      for (const {task} of host.worker.running) {
        if (seenTasks.has(task)) observed.duplicates += 1;
        seenTasks.add(task);
      }
    }
  });
  return observed;
}

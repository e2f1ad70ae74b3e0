import type {Configuration} from '../configuration/document.js';
import type {FairQueue} from './fair-queue.js';

/**
 * Gives every workload its guaranteed part of the requests that may be in flight at this process. `slots` is the
 * capacity that the grants refer to; grants beyond it are scaled down.
 */
export function applyShares<Item>(
  queue: FairQueue<Item>,
  configuration: Configuration,
  available: number,
  slots: number,
): void {
  let granted = 0;
  for (const workload of configuration.workloads.values()) granted += workload.grant.slots;
  const scale = available / Math.max(1, granted, slots);
  for (const {name, urgency, grant} of configuration.workloads.values()) {
    const weight = Math.max(1, grant.slots);
    queue.setClass(name, {urgency, guaranteed: grant.slots * scale, weight});
  }
}

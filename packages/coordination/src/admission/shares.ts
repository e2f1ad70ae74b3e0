import type {Configuration, Workload} from '../configuration/document.js';
import type {FairQueue} from './fair-queue.js';
import type {QueueClass} from './queue-order.js';

/** Share of a class whose workload has left the configuration. */
const unconfigured: QueueClass = {urgency: 'normal', guaranteed: 0, weight: 1};

/**
 * Gives every workload its guaranteed part of the requests that may be in flight at this process. A class exists
 * from its first request on, so that the cost follows the workloads with requests and not the whole configuration.
 */
export class Shares {
  private configuration?: Configuration;
  private granted = 0;

  /** Share of a workload by its grant; the queue scales it. */
  describe(name: string): QueueClass {
    const workload = this.configuration?.workloads.get(name);
    return workload ? getShare(workload) : unconfigured;
  }

  /** Applies a new configuration to the classes that exist. */
  configure<Item>(queue: FairQueue<Item>, configuration: Configuration): void {
    this.configuration = configuration;
    this.granted = 0;
    for (const {grant} of configuration.workloads.values()) this.granted += grant.slots;
    queue.refresh(name => configuration.workloads.has(name));
  }

  /** Factor from grants to shares. `slots` is the capacity that the grants refer to; larger grants are scaled down. */
  getScale(available: number, slots: number): number {
    return available / Math.max(1, this.granted, slots);
  }
}

function getShare({urgency, grant}: Workload): QueueClass {
  return {urgency, guaranteed: grant.slots, weight: Math.max(1, grant.slots)};
}

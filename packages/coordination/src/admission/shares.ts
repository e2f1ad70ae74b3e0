import type {Configuration, Workload} from '../configuration/document.js';
import type {FairQueue} from './fair-queue.js';
import type {QueueClass} from './queue-order.js';

/** Share of a class whose workload is no longer in the configuration. */
const unconfiguredClass: QueueClass = {urgency: 'normal', guaranteed: 0, weight: 1};

/**
 * Converts the grants of workloads into guaranteed shares of the requests in flight at this process. A class is
 * created by its first request, so that the cost depends on the workloads with requests, not on the whole
 * configuration.
 */
export class Shares {
  private configuration?: Configuration;
  private granted = 0;

  /** Returns the share of a workload according to its grant; the queue scales it. */
  getQueueClass(name: string): QueueClass {
    const workload = this.configuration?.workloads.get(name);
    return workload ? toQueueClass(workload) : unconfiguredClass;
  }

  /** Applies a new configuration to the existing classes. */
  configure<Item>(queue: FairQueue<Item>, configuration: Configuration): void {
    this.configuration = configuration;
    this.granted = 0;
    for (const {grant} of configuration.workloads.values()) this.granted += grant.slots;
    queue.refresh(name => configuration.workloads.has(name));
  }

  /**
   * Returns the factor from granted slots to requests in flight. `available` is the capacity of this process and
   * `slots` the capacity that the grants refer to; grants that exceed it in total are scaled down.
   */
  getScale(available: number, slots: number): number {
    return available / Math.max(1, this.granted, slots);
  }
}

function toQueueClass({urgency, grant}: Workload): QueueClass {
  return {urgency, guaranteed: grant.slots, weight: Math.max(1, grant.slots)};
}

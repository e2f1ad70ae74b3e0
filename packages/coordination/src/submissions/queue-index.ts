import type {Queue} from './submission.js';

/** Returns the key of a queue: its host followed by its path prefix. */
export function getQueueKey(host: string, prefix: string): string {
  return `${host}${prefix}`;
}

/** Finds the queue of a request by its host and the longest matching path prefix. */
export class QueueIndex {
  private readonly byHost = new Map<string, Queue[]>();

  constructor(queues: Iterable<Queue>) {
    for (const queue of queues) {
      const sameHost = this.byHost.get(queue.host);
      if (sameHost) sameHost.push(queue);
      else this.byHost.set(queue.host, [queue]);
    }
    for (const list of this.byHost.values()) {
      list.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  /** Returns the matching queue, or undefined when there is none. */
  getQueue(host: string, path: string): Queue | undefined {
    return this.byHost.get(host)?.find(queue => path.startsWith(queue.prefix));
  }
}

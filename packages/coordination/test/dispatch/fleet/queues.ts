import {getQueueKey, type Queue, type QueueConfiguration} from '../../../src/submissions/index.js';

/** Creates the settings of a queue for tests. */
export function createQueue(fields: Partial<Queue> & {readonly name: string}): Queue {
  const host = 'queues.example';
  const prefix = `/${fields.name}/`;
  return {
    key: getQueueKey(host, prefix),
    host,
    prefix,
    service: 'service',
    priority: 0,
    maxAttempts: 2,
    stretchFactor: 2,
    targetLatencyMs: 1_000,
    timeoutMs: 3_000,
    ...fields,
  };
}

/** Creates a configuration for tests. */
export function createConfiguration(queues: readonly Queue[]): QueueConfiguration {
  return {
    version: 1,
    queues: new Map(queues.map(queue => [queue.key, queue])),
    services: new Map([['service', {name: 'service', enforcesCapacity: true, standby: false}]]),
    maxBodyBytes: 262_144,
    maxHeaderBytes: 16_384,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  };
}

import type {AgentMessage, OwnerMessage, WorkerDescription} from '@chervilbeam/coordination';
import type {Test} from 'tap';
import {
  AgentNode,
  type LeaseRenewalReply,
  type Link,
  type LinkHandlers,
  ownerKey,
  type WorkerPort,
} from '../../../src/dispatch/index.js';
import {SystemClock} from '../../../src/loop/index.js';
import {Metrics} from '../../../src/metrics/index.js';
import {MemoryStore} from '../records/memory-store.js';
import {createTestLog} from '../test-log.js';
import {waitUntil} from '../wait-until.js';

/** A link to a host that never replies; tests deliver messages through its handlers. */
export class UnresponsiveLink {
  isEnded = false;

  constructor(
    readonly address: string,
    readonly handlers: LinkHandlers<OwnerMessage>,
  ) {}

  send: (message: AgentMessage) => void = () => {};

  end(): void {
    this.isEnded = true;
  }

  destroy(): void {
    this.isEnded = true;
  }
}

const unusedWorker = {} as WorkerPort;

export function createDescription(life: string): WorkerDescription {
  return {
    life,
    id: life.slice(0, life.indexOf('@')),
    service: 'service',
    dataCentre: 'dc',
    rack: 'r',
    labels: [],
    capacity: {processors: 1, memoryMb: 1, accelerators: 0, slots: 0},
    state: 'ready',
  };
}

export function createAgent(
  store: MemoryStore,
  seeds: readonly string[] = [],
  worker: WorkerPort = unusedWorker,
) {
  const links: UnresponsiveLink[] = [];
  const agent = new AgentNode({
    name: 'agent',
    dataCentre: 'dc',
    incarnation: 1,
    store,
    worker,
    clock: new SystemClock(),
    log: createTestLog().log,
    metrics: new Metrics(),
    seeds,
    heartbeatIntervalMs,
    dial: (address, handlers) => {
      const link = new UnresponsiveLink(address, handlers);
      links.push(link);
      return link as unknown as Link<OwnerMessage, AgentMessage>;
    },
  });
  return {agent, links};
}

export function claim(store: MemoryStore, address: string): void {
  store.put(ownerKey, JSON.stringify({name: address, address, nonce: address}));
}

/** Time in milliseconds in which a worker answers. */
export const answerMs = 5;
/** Interval of the heartbeats in milliseconds. */
export const heartbeatIntervalMs = 200;

/** A worker on the agent's host that answers as incarnation `w@1000`, or as the one that `life` is set to. */
export class AnsweringWorker {
  life = 'w@1000';
  isSilent = false;
  isRefusing = false;

  /** Options of all calls that renew the lease. */
  readonly holds: Array<Parameters<WorkerPort['hold']>[1]> = [];

  readonly port = {
    hold: async (
      id: string,
      options: Parameters<WorkerPort['hold']>[1],
    ): Promise<LeaseRenewalReply> => {
      this.holds.push(options);
      await new Promise(resolve => setTimeout(resolve, answerMs));
      if (this.isRefusing) return {kind: 'absent'};
      if (this.isSilent) return {kind: 'no-answer', detail: 'timeout'};
      const [presentId = '', startedAt] = this.life.split('@');
      if (id !== presentId) return {kind: 'other-life'};
      return {
        kind: 'listed',
        startedAtMs: Number(startedAt),
        clockMs: performance.now(),
        running: [],
        ends: [],
      };
    },
  } as unknown as WorkerPort;
}

/** Term of the owner of `createOwnedAgent`. */
export const term = 2;

/** Returns an agent with an owner, and the messages that it sends to it. */
export async function createOwnedAgent(t: Test, worker: AnsweringWorker) {
  const store = new MemoryStore();
  claim(store, '10.0.0.1:1');
  const {agent, links} = createAgent(store, [], worker.port);
  t.teardown(() => agent.stop());
  agent.start();
  await waitUntil(() => links.length === 1);
  const sent: AgentMessage[] = [];
  const [link] = links;
  if (link) link.send = message => void sent.push(message);
  link?.handlers.message({kind: 'owner', term, entries: []});
  const receive = (message: OwnerMessage) => link?.handlers.message(message);
  const getWorkers = () => sent.flatMap(message => (message.kind === 'worker' ? [message] : []));
  const countReports = () => sent.filter(message => message.kind === 'report').length;
  return {agent, sent, receive, getWorkers, countReports};
}

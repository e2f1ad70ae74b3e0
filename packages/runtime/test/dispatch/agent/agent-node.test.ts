import type {
  AgentMessage,
  RunEndRow,
  OwnerMessage,
  WorkerDescription,
} from '@chervilbeam/coordination';
import t, {type Test} from 'tap';
import {
  AgentNode,
  type LeaseRenewalReply,
  type Link,
  type LinkHandlers,
  ownerKey,
  unacknowledgedEndsPauseMs,
  type WorkerPort,
} from '../../../src/dispatch/index.js';
import {SystemClock} from '../../../src/loop/index.js';
import {Metrics} from '../../../src/metrics/index.js';
import {MemoryStore} from '../records/memory-store.js';
import {oddAddresses} from '../odd-addresses.js';
import {createTestLog} from '../test-log.js';
import {waitUntil} from '../wait-until.js';

/** A link to a host that never replies; tests deliver messages through its handlers. */
class UnresponsiveLink {
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

/** Interval in milliseconds at which an agent tries to reach a known owner. */
const attemptIntervalMs = 300;

const unusedWorker = {} as WorkerPort;

function createDescription(life: string): WorkerDescription {
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

function createAgent(
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
    dial: (address, handlers) => {
      const link = new UnresponsiveLink(address, handlers);
      links.push(link);
      return link as unknown as Link<OwnerMessage, AgentMessage>;
    },
  });
  return {agent, links};
}

function claim(store: MemoryStore, address: string): void {
  store.put(ownerKey, JSON.stringify({name: address, address, nonce: address}));
}

void t.test(
  'a connection that is still being opened to a host that is down does not delay the link to a new owner',
  async t => {
    const store = new MemoryStore();
    claim(store, '10.0.0.1:1');
    const {agent, links} = createAgent(store);
    agent.start();
    await waitUntil(() => links.length === 1);
    claim(store, '10.0.0.2:1');
    await waitUntil(() => links.length === 2);
    t.equal(links[1]?.address, '10.0.0.2:1');
    t.ok(links[0]?.isEnded, 'the pending connection is closed');
    agent.stop();
  },
);

void t.test(
  'an agent switches to the new owner when the previous owner has not noticed its replacement',
  async t => {
    const store = new MemoryStore();
    claim(store, '10.0.0.1:1');
    const {agent, links} = createAgent(store);
    agent.start();
    await waitUntil(() => links.length === 1);
    links[0]?.handlers.message({kind: 'owner', term: store.revision, entries: []});
    claim(store, '10.0.0.2:1');
    await waitUntil(() => links.length === 2);
    t.equal(links[1]?.address, '10.0.0.2:1');
    t.ok(links[0]?.isEnded, 'the link to the previous owner is closed');
    agent.stop();
  },
);

void t.test(
  'while the store does not answer, entries are asked for the owner, so that an outage does not isolate agents',
  async t => {
    const store = new MemoryStore();
    store.faults = Array.from({length: 1_000}, () => 'refused' as const);
    const {agent, links} = createAgent(store, ['10.0.0.1:1', '10.0.0.2:1']);
    agent.start();
    await waitUntil(() => links.length >= 2);
    t.same(new Set(links.map(link => link.address)), new Set(['10.0.0.1:1', '10.0.0.2:1']));
    agent.stop();
  },
);

void t.test(
  'entries that redirect an agent in a loop do not make it dial them in a busy loop',
  async t => {
    const store = new MemoryStore();
    store.faults = Array.from({length: 1_000}, () => 'refused' as const);
    const {agent, links} = createAgent(store, ['10.0.0.1:1']);
    agent.start();
    await waitUntil(() => links.length === 1);
    for (let hop = 0; hop < 5; hop += 1) {
      links
        .at(-1)
        ?.handlers.message({kind: 'elsewhere', address: `10.0.0.${hop + 2}:1`, entries: []});
    }
    t.equal(links.length, 3, 'only two redirections are followed without a delay');
    agent.stop();
  },
);

void t.test(
  'lists of a restarted worker are not reported as if they came from its previous incarnation',
  async t => {
    const store = new MemoryStore();
    claim(store, '10.0.0.1:1');
    let renewals = 0;
    const worker = {
      hold: async () => {
        renewals += 1;
        await new Promise(resolve => setTimeout(resolve, 5));
        // The first call confirms the incarnation.
        const startedAtMs = renewals <= 3 ? 1_000 : 2_000;
        return {kind: 'listed', startedAtMs, clockMs: renewals, running: [], ends: []} as const;
      },
    } as unknown as WorkerPort;
    const {agent, links} = createAgent(store, [], worker);
    const sent: AgentMessage[] = [];
    agent.start();
    agent.updateWorker(createDescription('w@1000'));
    await waitUntil(() => links.length === 1);
    const [link] = links;
    if (link) link.send = message => void sent.push(message);
    link?.handlers.message({kind: 'owner', term: store.revision, entries: []});
    await waitUntil(() => renewals >= 5);
    const reports = sent.filter(message => message.kind === 'report');
    t.equal(reports.length, 2, 'only the lists of the known incarnation are reported');
    agent.stop();
  },
);

void t.test('renewals do not form a busy loop while ends wait to be stored', async t => {
  const store = new MemoryStore();
  claim(store, '10.0.0.1:1');
  const acknowledgements: number[] = [];
  const worker = {
    // A renewal returns at once while there are unacknowledged ends.
    hold: async (_id: string, {acknowledged}: {acknowledged: number}) => {
      acknowledgements.push(acknowledged);
      const ends: RunEndRow[] = acknowledged < 1 ? [[1, 'a.0.0.0', 1, 'done', '']] : [];
      if (ends.length === 0) await new Promise(resolve => setTimeout(resolve, 50));
      return {kind: 'listed', clockMs: acknowledgements.length, running: [], ends} as const;
    },
  } as unknown as WorkerPort;
  const {agent, links} = createAgent(store, [], worker);
  agent.start();
  agent.updateWorker(createDescription('w@1000'));
  await waitUntil(() => links.length === 1);
  const [link] = links;
  const startedAt = performance.now();
  link?.handlers.message({kind: 'owner', term: store.revision, entries: []});
  await waitUntil(() => performance.now() - startedAt > 500);
  const allowed = 2 + (performance.now() - startedAt) / unacknowledgedEndsPauseMs;
  t.ok(acknowledgements.length <= allowed, `${acknowledgements.length} calls, ${allowed} allowed`);
  const lease = {kind: 'lease', life: 'w@1000', term: store.revision} as const;
  link?.handlers.message({...lease, deadlineMs: 5_000, acknowledged: 1});
  await waitUntil(() => acknowledgements.includes(1));
  t.pass('the acknowledgement is passed on');
  agent.stop();
});

/** Time in milliseconds in which a worker answers. */
const answerMs = 5;

/** A worker on the agent's host that answers as incarnation `w@1000`, or as the one that `life` is set to. */
class AnsweringWorker {
  life = 'w@1000';
  isSilent = false;

  readonly port = {
    hold: async (id: string): Promise<LeaseRenewalReply> => {
      await new Promise(resolve => setTimeout(resolve, answerMs));
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

/** Returns an agent with an owner, and the messages that it sends to it. */
async function createOwnedAgent(t: Test, worker: AnsweringWorker) {
  const store = new MemoryStore();
  claim(store, '10.0.0.1:1');
  const {agent, links} = createAgent(store, [], worker.port);
  t.teardown(() => agent.stop());
  agent.start();
  await waitUntil(() => links.length === 1);
  const sent: AgentMessage[] = [];
  const [link] = links;
  if (link) link.send = message => void sent.push(message);
  link?.handlers.message({kind: 'owner', term: store.revision, entries: []});
  const getWorkers = () => sent.flatMap(message => (message.kind === 'worker' ? [message] : []));
  const countReports = () => sent.filter(message => message.kind === 'report').length;
  return {agent, sent, getWorkers, countReports};
}

// A heartbeat of another writer replaced a sound worker, and the owner started its running tasks again elsewhere.
const strangeHeartbeats: ReadonlyArray<{
  readonly name: string;
  readonly worker: WorkerDescription;
}> = [
  {
    name: 'for another service, with an id of its own and a later start',
    worker: {...createDescription('other@5000'), service: 'unknown'},
  },
  {
    name: 'for the same service, with an id of its own and a later start',
    worker: createDescription('other@5000'),
  },
  {name: 'with an earlier start', worker: createDescription('other@500')},
  {name: 'with the id of the worker and a later start', worker: createDescription('w@5000')},
  {name: 'with the id of the worker and no start', worker: createDescription('w@0')},
  {
    name: 'of the same incarnation for another service',
    worker: {...createDescription('w@1000'), service: 'unknown', state: 'draining'},
  },
];

for (const {name, worker: strange} of strangeHeartbeats) {
  void t.test(`a heartbeat ${name} does not replace the worker that answers`, async t => {
    const worker = new AnsweringWorker();
    const {agent, sent, getWorkers, countReports} = await createOwnedAgent(t, worker);
    agent.updateWorker(createDescription('w@1000'));
    await waitUntil(() => countReports() > 0);
    agent.updateWorker(strange);
    await new Promise(resolve => setTimeout(resolve, answerMs * 10));
    agent.updateWorker({...createDescription('w@1000'), state: 'draining'});
    t.same(
      getWorkers().map(message => [
        message.worker.life,
        message.worker.service,
        message.worker.state,
      ]),
      [
        ['w@1000', 'service', 'ready'],
        ['w@1000', 'service', 'draining'],
      ],
    );
    t.notOk(sent.some(message => message.kind === 'worker-gone'));
  });

  if (strange.life === 'w@1000') continue;
  void t.test(`a heartbeat ${name} that comes first does not keep the worker out`, async t => {
    const worker = new AnsweringWorker();
    const {agent, getWorkers, countReports} = await createOwnedAgent(t, worker);
    agent.updateWorker(strange);
    agent.updateWorker(createDescription('w@1000'));
    await new Promise(resolve => setTimeout(resolve, answerMs * 10));
    t.ok(countReports() > 0);
    t.same(
      getWorkers().map(message => message.worker.life),
      ['w@1000'],
    );
  });
}

void t.test('a restarted worker replaces its previous incarnation once it answers', async t => {
  const worker = new AnsweringWorker();
  const {agent, getWorkers, countReports} = await createOwnedAgent(t, worker);
  agent.updateWorker(createDescription('w@1000'));
  await waitUntil(() => countReports() > 0);
  worker.life = 'next@2000';
  worker.isSilent = true;
  agent.updateWorker(createDescription('next@2000'));
  await new Promise(resolve => setTimeout(resolve, 50));
  t.same(
    getWorkers().map(message => message.worker.life),
    ['w@1000'],
  );
  worker.isSilent = false;
  await waitUntil(() => getWorkers().length === 2);
  t.equal(getWorkers().at(-1)?.worker.life, 'next@2000');
  agent.updateWorker(createDescription('w@1000'));
  await new Promise(resolve => setTimeout(resolve, 50));
  t.equal(getWorkers().length, 2, 'a late heartbeat of the previous incarnation changes nothing');
});

const farewells: ReadonlyArray<{
  readonly name: string;
  readonly id: string;
  readonly startedAtMs?: number;
  readonly isHeard: boolean;
}> = [
  {name: 'of the present incarnation', id: 'w', startedAtMs: 1_000, isHeard: true},
  {name: 'without a start time', id: 'w', isHeard: true},
  {name: 'of an earlier incarnation', id: 'w', startedAtMs: 500, isHeard: false},
  {name: 'of another worker', id: 'other', isHeard: false},
];

for (const {name, id, startedAtMs, isHeard} of farewells) {
  void t.test(`a farewell ${name} ${isHeard ? 'ends the worker' : 'is ignored'}`, async t => {
    const {agent, sent, countReports} = await createOwnedAgent(t, new AnsweringWorker());
    agent.updateWorker(createDescription('w@1000'));
    await waitUntil(() => countReports() > 0);
    agent.handleFarewell(id, startedAtMs);
    t.equal(
      sent.some(message => message.kind === 'worker-gone'),
      isHeard,
    );
  });
}

// The address was dialled again at intervals, outside of the watch that had read it.
for (const address of oddAddresses) {
  void t.test(`an agent waits for the owner after one at "${address.slice(0, 20)}"`, async t => {
    const store = new MemoryStore();
    claim(store, address);
    const {agent, links} = createAgent(store, [address]);
    agent.start();
    t.teardown(() => agent.stop());
    await new Promise(resolve => setTimeout(resolve, 2 * attemptIntervalMs));
    t.same(links, []);
    claim(store, '10.0.0.2:1');
    await waitUntil(() => links.length === 1);
    t.equal(links[0]?.address, '10.0.0.2:1');
  });
}

void t.test('a key that only begins like that of the owner names no owner', async t => {
  const store = new MemoryStore();
  const stray = {name: 'stray', address: '10.0.0.9:1', nonce: 'stray-1'};
  const {agent, links} = createAgent(store);
  store.put(`${ownerKey}-2`, JSON.stringify(stray));
  agent.start();
  t.teardown(() => agent.stop());
  await new Promise(resolve => setTimeout(resolve, attemptIntervalMs));
  store.put(`${ownerKey}-3`, JSON.stringify(stray));
  await new Promise(resolve => setTimeout(resolve, attemptIntervalMs));
  claim(store, '10.0.0.1:1');
  store.put(`${ownerKey}-4`, JSON.stringify(stray));
  await waitUntil(() => links.length > 0);
  await new Promise(resolve => setTimeout(resolve, attemptIntervalMs));
  t.same(new Set(links.map(link => link.address)), new Set(['10.0.0.1:1']));
});

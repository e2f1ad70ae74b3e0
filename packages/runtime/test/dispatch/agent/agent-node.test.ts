import type {AgentMessage, RunEndRow} from '@chervilbeam/coordination';
import t from 'tap';
import {
  type CommandReply,
  ownerKey,
  unacknowledgedEndsPauseMs,
  type WorkerPort,
} from '../../../src/dispatch/index.js';
import {oddAddresses} from '../odd-addresses.js';
import {MemoryStore} from '../records/memory-store.js';
import {waitUntil} from '../wait-until.js';
import {
  AnsweringWorker,
  claim,
  createAgent,
  createDescription,
  createOwnedAgent,
  term,
} from './agent-fixture.js';

/** Interval in milliseconds at which an agent tries to reach a known owner. */
const attemptIntervalMs = 300;

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

void t.test('an agent follows each of several handovers without a delay', async t => {
  const store = new MemoryStore();
  const {agent, links} = createAgent(store);
  t.teardown(() => agent.stop());
  claim(store, '10.0.0.1:1');
  agent.start();
  await waitUntil(() => links.length === 1);
  const handovers = 4;
  for (let hop = 1; hop <= handovers; hop += 1) {
    const {handlers} = links.at(-1) ?? {};
    handlers?.message({kind: 'owner', term: 10 + hop, entries: []});
    handlers?.message({kind: 'elsewhere', address: `10.0.0.${hop + 1}:1`, entries: []});
    t.equal(links.at(-1)?.address, `10.0.0.${hop + 1}:1`);
  }
});

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

// Without the term, the next owner takes the outcome for that of its own command with the same number.
void t.test(
  'an outcome that comes after a change of owner names the term of its command',
  async t => {
    const store = new MemoryStore();
    claim(store, '10.0.0.1:1');
    const worker = new AnsweringWorker();
    let answer: (reply: CommandReply) => void = () => {};
    const start = () => new Promise<CommandReply>(resolve => (answer = resolve));
    const {agent, links} = createAgent(store, [], {...worker.port, start} as WorkerPort);
    t.teardown(() => agent.stop());
    agent.start();
    await waitUntil(() => links.length === 1);
    const [former] = links;
    const formerTerm = store.revision;
    former?.handlers.message({kind: 'owner', term: formerTerm, entries: []});
    const sent: AgentMessage[] = [];
    if (former) former.send = message => void sent.push(message);
    agent.updateWorker(createDescription('w@1000'));
    await waitUntil(() => sent.length > 0);
    former?.handlers.message({
      kind: 'start',
      order: 1,
      life: 'w@1000',
      term: formerTerm,
      task: 'a.0.0.0',
      run: 1,
      spec: '',
      deadlineMs: 5_000,
    });
    claim(store, '10.0.0.2:1');
    await waitUntil(() => links.length === 2);
    const [, next] = links;
    if (next) next.send = message => void sent.push(message);
    next?.handlers.message({kind: 'owner', term: store.revision, entries: []});
    const outcome = {kind: 'refused', reason: 'busy'} as const;
    answer({outcome});
    await waitUntil(() => sent.some(message => message.kind === 'result'));
    t.same(
      sent.filter(message => message.kind === 'result'),
      [{kind: 'result', order: 1, term: formerTerm, outcome}],
    );
  },
);

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

const failures: ReadonlyArray<{
  readonly name: string;
  readonly fail: (worker: AnsweringWorker, isFailing: boolean) => void;
}> = [
  {name: 'refuses connections', fail: (worker, isFailing) => (worker.isRefusing = isFailing)},
  {name: 'does not answer', fail: (worker, isFailing) => (worker.isSilent = isFailing)},
];
for (const {name, fail} of failures) {
  // The next incarnation under the same id would take the deadline for a later one, and lose ends of its own.
  void t.test(
    `a worker that ${name} gets neither deadline nor acknowledgement nor starts until it has answered again`,
    async t => {
      const worker = new AnsweringWorker();
      const {agent, sent, receive} = await createOwnedAgent(t, worker);
      agent.updateWorker(createDescription('w@1000'));
      await waitUntil(() => sent.some(message => message.kind === 'report'));
      const lease = {
        kind: 'lease',
        life: 'w@1000',
        term,
        deadlineMs: 9_000,
        acknowledged: 7,
      } as const;
      receive({...lease, token: term + 5});
      await waitUntil(() => worker.holds.some(({acknowledged}) => acknowledged === 7));
      t.match(worker.holds.at(-1), {deadlineMs: 9_000, token: term + 5});
      fail(worker, true);
      const count = worker.holds.length;
      await waitUntil(() => worker.holds.length >= count + 2);
      receive({
        kind: 'start',
        order: 1,
        life: 'w@1000',
        term,
        task: 'a.0.0.0',
        run: 1,
        spec: '',
        deadlineMs: 9_000,
      });
      t.match(sent.at(-1), {kind: 'result', outcome: {kind: 'refused', reason: 'other-life'}});
      worker.life = 'w@2000';
      const first = worker.holds.length;
      fail(worker, false);
      await waitUntil(() => worker.holds.length > first + 1);
      for (const {acknowledged, deadlineMs} of worker.holds.slice(first)) {
        t.equal(acknowledged, 0);
        t.equal(deadlineMs, undefined);
      }
    },
  );
}

for (const {name, fail} of failures) {
  // Without that time, the owner cannot tell which runs were on the worker when it crashed.
  void t.test(
    `the owner is told when a worker that ${name} stopped answering before its next incarnation`,
    async t => {
      const worker = new AnsweringWorker();
      const {agent, sent, getWorkers} = await createOwnedAgent(t, worker);
      agent.updateWorker(createDescription('w@1000'));
      await waitUntil(() => sent.some(message => message.kind === 'report'));
      t.equal(getWorkers().at(-1)?.former, undefined);
      fail(worker, true);
      const count = worker.holds.length;
      await waitUntil(() => worker.holds.length >= count + 2);
      worker.life = 'w@2000';
      fail(worker, false);
      agent.updateWorker(createDescription('w@2000'));
      await waitUntil(() => getWorkers().at(-1)?.worker.life === 'w@2000');
      const former = getWorkers().at(-1)?.former;
      t.equal(former?.life, 'w@1000');
      t.ok((former?.silentMs ?? 0) > 0, 'since the first failed call');
    },
  );
}

void t.test(
  'a report names the token that the worker had seen, and a higher one is sent at once',
  async t => {
    const worker = new AnsweringWorker();
    const {agent, sent, receive} = await createOwnedAgent(t, worker);
    agent.updateWorker(createDescription('w@1000'));
    const getTokens = () =>
      sent.flatMap(message => (message.kind === 'report' ? [message.token] : []));
    await waitUntil(() => getTokens().length > 0);
    t.same(new Set(getTokens()), new Set([term]));
    receive({
      kind: 'lease',
      life: 'w@1000',
      term,
      token: term + 9,
      deadlineMs: 9_000,
      acknowledged: 0,
    });
    await waitUntil(() => getTokens().includes(term + 9));
    const report = sent.find(message => message.kind === 'report' && message.token === term + 9);
    t.match(report, {running: []}, 'the first list with it is complete');
  },
);

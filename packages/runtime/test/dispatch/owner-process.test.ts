import type {AgentMessage, Clock, OwnerMessage} from '@chervilbeam/coordination';
import t, {type Test} from 'tap';
import type {Link} from '../../src/dispatch/index.js';
import {OwnerProcess} from '../../src/dispatch/owner-process.js';
import {Metrics} from '../../src/metrics/index.js';
import {MemoryStore} from './memory-store.js';
import {createTestLog} from './test-log.js';
import {waitUntil} from './wait-until.js';

const ownerKey = 'work/owner';
const life = 'i-1@1';
const agent = 'agent-1';
const id = '00000000000000d1';
/** Pause in milliseconds after which every lease has expired. */
const pauseMs = 8_000;

/** The system's clock, which a test sets ahead as if the process had been paused. */
class PausableClock implements Clock {
  private pausedMs = 0;

  now(): number {
    return performance.now() + this.pausedMs;
  }

  wallTime(): number {
    return Date.now() + this.pausedMs;
  }

  pause(ms: number): void {
    this.pausedMs += ms;
  }
}

/** A link that records the messages to the agent. */
class RecordingLink {
  readonly sent: OwnerMessage[] = [];

  send(message: OwnerMessage): void {
    this.sent.push(message);
  }

  destroy(): void {}

  end(): void {}

  /** Commands and leases, which only the owner may send. */
  get orders(): string[] {
    const kinds = this.sent.map(message => message.kind);
    return kinds.filter(kind => kind !== 'elsewhere');
  }
}

interface Fixture {
  readonly owner: OwnerProcess;
  readonly clock: PausableClock;
  readonly store: MemoryStore;
  readonly link: RecordingLink;
}

function asLink(link: RecordingLink): Link<AgentMessage, OwnerMessage> {
  return link as unknown as Link<AgentMessage, OwnerMessage>;
}

/** Creates a process that has become the owner and knows one worker. */
async function createOwner(t: Test): Promise<Fixture> {
  const store = new MemoryStore();
  const clock = new PausableClock();
  const owner = new OwnerProcess({
    name: 'entry-1',
    address: '10.0.0.1:1',
    processors: 1,
    incarnation: 'one',
    store,
    clock,
    log: createTestLog().log,
    metrics: new Metrics(),
    getOtherProcessors: () => [],
    onOwner: () => {},
    onOwnership: () => {},
  });
  t.teardown(() => owner.drain());
  owner.start();
  await waitUntil(() => owner.isOwner);
  const link = new RecordingLink();
  owner.addAgent(agent, asLink(link), []);
  for (const message of [createWorker(), createReport(link)]) {
    owner.receive(agent, asLink(link), message);
  }
  await waitUntil(() => link.orders.includes('lease'));
  return {owner, clock, store, link};
}

function createWorker(): AgentMessage {
  return {
    kind: 'worker',
    worker: {
      life,
      id: 'i-1',
      service: 'service',
      dataCentre: 'dc',
      rack: 'r1',
      labels: [],
      capacity: {processors: 16, memoryMb: 64_000, accelerators: 0, slots: 0},
      state: 'ready',
    },
  };
}

function createReport(link: RecordingLink): AgentMessage {
  const owner = link.sent.find(message => message.kind === 'owner');
  return {kind: 'report', life, term: owner?.term ?? 0, clockMs: 1_000, running: [], ends: []};
}

const actions: ReadonlyArray<{
  readonly name: string;
  readonly act: (fixture: Fixture) => void;
}> = [
  {
    name: 'a list of a worker',
    act: ({owner, link}) => owner.receive(agent, asLink(link), createReport(link)),
  },
  {
    name: 'a cancel',
    act: ({owner}) => owner.cancel(id),
  },
  {
    name: 'a closed link',
    act: ({owner, link}) => owner.removeAgent(agent, asLink(link)),
  },
  {
    name: 'an agent that connects again',
    act: ({owner, link}) => void owner.addAgent(agent, asLink(link), []),
  },
];

for (const {name, act} of actions) {
  void t.test(`an owner paused beyond its lease sends no order after ${name}`, async t => {
    const fixture = await createOwner(t);
    const before = fixture.link.orders.length;
    fixture.clock.pause(pauseMs);
    act(fixture);
    await new Promise(resolve => setImmediate(() => setImmediate(resolve)));
    t.same(fixture.link.orders.slice(before), []);
  });
}

const questions: ReadonlyArray<{
  readonly name: string;
  readonly ask: (owner: OwnerProcess) => unknown;
  readonly answer: unknown;
}> = [
  {name: 'the state of a submission', ask: owner => owner.lookUp(id), answer: {isOwner: false}},
  {name: 'pending submissions', ask: owner => owner.countPending('q'), answer: undefined},
  {name: 'the backlogs', ask: owner => owner.getQueueBacklogs(), answer: undefined},
];

for (const {name, ask, answer} of questions) {
  void t.test(`an owner paused beyond its lease does not answer for ${name}`, async t => {
    const {owner, clock} = await createOwner(t);
    t.notSame(ask(owner), answer, 'the owner answers');
    clock.pause(pauseMs);
    t.same(ask(owner), answer);
  });
}

void t.test('an owner whose key another process has taken sends no further order', async t => {
  const {owner, store, link} = await createOwner(t);
  store.put(ownerKey, JSON.stringify({name: 'entry-2', address: '10.0.0.2:1', nonce: 'two-1'}));
  await waitUntil(() => !owner.isOwner);
  const before = link.orders.length;
  owner.receive(agent, asLink(link), createReport(link));
  await new Promise(resolve => setImmediate(() => setImmediate(resolve)));
  t.same(link.orders.slice(before), []);
  t.equal(link.sent.at(-1)?.kind, 'elsewhere', 'the agent is told to look for the owner');
});

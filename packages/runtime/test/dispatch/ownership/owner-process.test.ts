import type {AgentMessage, Clock, OwnerMessage, OwnerRecord} from '@chervilbeam/coordination';
import t, {type Test} from 'tap';
import type {Link} from '../../../src/dispatch/index.js';
import {OwnerProcess} from '../../../src/dispatch/ownership/owner-process.js';
import {Metrics} from '../../../src/metrics/index.js';
import {nestedText} from '../mutations.js';
import {MemoryStore} from '../records/memory-store.js';
import {createTestLog} from '../test-log.js';
import {waitUntil} from '../wait-until.js';

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
  readonly lines: ReturnType<typeof createTestLog>['lines'];
}

function asLink(link: RecordingLink): Link<AgentMessage, OwnerMessage> {
  return link as unknown as Link<AgentMessage, OwnerMessage>;
}

/** Creates a process that has become the owner and knows one worker. */
async function createOwner(
  t: Test,
  prepare: (store: MemoryStore) => void = () => {},
  askOwnershipEnd: (owner: OwnerRecord) => Promise<number | undefined> = async () => undefined,
): Promise<Fixture> {
  const store = new MemoryStore();
  prepare(store);
  const {owner, clock, lines} = createProcess(t, store, askOwnershipEnd);
  owner.start();
  await waitUntil(() => owner.isOwner);
  const link = new RecordingLink();
  owner.addAgent(agent, asLink(link), []);
  for (const message of [createWorker(), createReport(link)]) {
    owner.receive(agent, asLink(link), message);
  }
  await waitUntil(() => link.orders.includes('lease'));
  return {owner, clock, store, link, lines};
}

/** Creates a process that does not take part in the election yet. */
function createProcess(
  t: Test,
  store: MemoryStore,
  askOwnershipEnd: (owner: OwnerRecord) => Promise<number | undefined> = async () => undefined,
) {
  const {log, lines} = createTestLog();
  const clock = new PausableClock();
  const owner = new OwnerProcess({
    name: 'entry-1',
    address: '10.0.0.1:1',
    processors: 1,
    incarnation: 'one',
    store,
    clock,
    log,
    metrics: new Metrics(),
    getOtherProcessors: () => [],
    askOwnershipEnd,
    onOwner: () => {},
    onOwnership: () => {},
  });
  t.teardown(() => owner.drain());
  return {owner, clock, lines};
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

const ownersKey = 'owners';
const previous: OwnerRecord = {name: 'entry-2', address: '10.0.0.2:1', nonce: 'two-1'};
const older: OwnerRecord = {name: 'entry-3', address: '10.0.0.3:1', nonce: 'three-1'};

function putPredecessors(store: MemoryStore, owners: string): void {
  store.put('generation', '2');
  store.put('roster', JSON.stringify([{agent: 'agent-9', life: 'i-9@9'}]));
  store.put(ownersKey, owners);
}

function getOwners(store: MemoryStore): unknown {
  const record = store.records.get(ownersKey);
  return record && JSON.parse(record.value);
}

const predecessorCases: ReadonlyArray<{
  readonly name: string;
  readonly owners: string;
  readonly ask: (owner: OwnerRecord) => Promise<number | undefined>;
  /** Whether the end of all predecessors is found out. */
  readonly isFound: boolean;
}> = [
  {
    name: 'all predecessors answer',
    owners: JSON.stringify([older, previous]),
    ask: async owner => (owner.nonce === older.nonce ? 9_000 : 700),
    isFound: true,
  },
  {
    name: 'one of them does not answer',
    owners: JSON.stringify([older, previous]),
    ask: async owner => (owner.nonce === older.nonce ? undefined : 700),
    isFound: false,
  },
  {name: 'the list of owners is unreadable', owners: '[{}]', ask: async () => 0, isFound: false},
];

for (const {name, owners, ask, isFound} of predecessorCases) {
  void t.test(`the recovery waits for the latest end of the predecessors: ${name}`, async t => {
    const asked: string[] = [];
    const {lines, store} = await createOwner(
      t,
      store => putPredecessors(store, owners),
      owner => {
        asked.push(owner.nonce);
        return ask(owner);
      },
    );
    if (isFound) {
      await waitUntil(() => lines.some(line => line.event === 'predecessors-ended'));
      const age = lines.find(line => line.event === 'predecessors-ended')?.ageMs;
      t.ok(Number(age) >= 700 && Number(age) < 9_000, `${String(age)} ms`);
      t.match(getOwners(store), [older, previous, {nonce: /^one-/}], 'the claim adds the owner');
    } else {
      // Asked several times without a result.
      await new Promise(resolve => setTimeout(resolve, 1_000));
      t.notOk(lines.some(line => line.event === 'predecessors-ended'));
    }
    t.equal(asked.length > 0, owners.includes('nonce'));
  });
}

void t.test('an owner that has recovered is the only one whose leases may be valid', async t => {
  const {store} = await createOwner(t, store => {
    store.put('generation', '2');
    store.put(ownersKey, JSON.stringify([older, previous]));
  });
  await waitUntil(() => (getOwners(store) as unknown[]).length === 1);
  t.match(getOwners(store), [{nonce: /^one-/}]);
});

void t.test(
  'an ownership ends at the latest with its process, and lasts while it is held',
  async t => {
    const {owner, clock, store} = await createOwner(t);
    clock.pause(1_000);
    t.ok(Number(owner.getOwnershipEndAge(previous)) >= 1_000, 'of an earlier process');
    const held = JSON.parse(store.records.get(ownerKey)?.value ?? '{}') as OwnerRecord;
    t.equal(owner.getOwnershipEndAge(held), undefined);
    clock.pause(pauseMs);
    const ageMs = Number(owner.getOwnershipEndAge(held));
    t.ok(ageMs < 1_000, `ended ${ageMs} ms ago, when the pause was noticed`);
  },
);

const oddTexts = [
  '{',
  'null',
  '7',
  '[]',
  '',
  '{"name":"x"}',
  nestedText,
  `{"address":${nestedText}}`,
];
for (const text of oddTexts) {
  void t.test(`an unreadable owner record is replaced: ${text.slice(0, 20)}`, async t => {
    const {owner, store} = await createOwner(t, store => store.put(ownerKey, text));
    t.ok(owner.isOwner);
    t.match(JSON.parse(store.records.get(ownerKey)?.value ?? ''), {nonce: /^one-/});
  });
}

/** Time in milliseconds in which a process would have claimed a vacant ownership several times. */
const claimWaitMs = 1_500;

void t.test('a readable owner record is not replaced by a claim', async t => {
  const store = new MemoryStore();
  store.put(ownerKey, '{');
  const {owner} = createProcess(t, store);
  const text = JSON.stringify(previous);
  // Written after the claim has found an unreadable record.
  store.onConflict = () => store.put(ownerKey, text);
  owner.start();
  await new Promise(resolve => setTimeout(resolve, claimWaitMs));
  t.notOk(owner.isOwner);
  t.equal(store.records.get(ownerKey)?.value, text);
});

void t.test('a key that only begins like that of the owner does not end an ownership', async t => {
  const {owner, store, lines} = await createOwner(t);
  store.put(`${ownerKey}-2`, JSON.stringify(previous));
  await new Promise(resolve => setTimeout(resolve, claimWaitMs));
  t.ok(owner.isOwner);
  t.equal(lines.filter(line => line.event === 'ownership-claimed').length, 1);
});

const generations: ReadonlyArray<{readonly name: string; readonly text: string}> = [
  {name: 'not a number', text: 'x'},
  {name: 'nested', text: nestedText},
  {name: 'empty', text: ''},
  {name: 'infinite', text: '1e400'},
  {name: 'too large for a run number', text: '9007199254740991'},
  {name: 'larger than the number of changes', text: '1e15'},
  {name: 'negative', text: '-5'},
  {name: 'a fraction', text: '1.5'},
];

for (const {name, text} of generations) {
  void t.test(`the generation continues above all earlier ones when it is ${name}`, async t => {
    const earlier = 40;
    const {store, lines} = await createOwner(t, store => {
      store.revision = earlier;
      store.put('generation', text);
    });
    const generation = Number(store.records.get('generation')?.value);
    t.ok(Number.isSafeInteger(generation) && generation > earlier, String(generation));
    t.ok(generation < 1_000, String(generation));
    t.ok(lines.some(line => line.event === 'record-unreadable' && line.key === 'generation'));
  });
}

import type {AgentMessage, OwnerMessage, SuccessorCandidate} from '@chervilbeam/coordination';
import t, {type Test} from 'tap';
import type {Link} from '../../../../src/dispatch/index.js';
import type {
  HandoverCalls,
  HandoverReply,
} from '../../../../src/dispatch/ownership/handover/handover-calls.js';
import {OwnerProcess} from '../../../../src/dispatch/ownership/owner-process.js';
import {SystemClock} from '../../../../src/loop/index.js';
import {Metrics} from '../../../../src/metrics/index.js';
import {MemoryStore} from '../../records/memory-store.js';
import {createTestLog} from '../../test-log.js';
import {waitUntil} from '../../wait-until.js';

const ownerKey = 'work/owner';
/** Time in milliseconds in which an owner may hand over; long enough for a busy machine. */
const limitMs = 10_000;
/** The same where no successor is found. */
const shortLimitMs = 1_000;

type Change = 'written' | 'removed';

/** A store that records the changes of the owner key. */
class ObservedOwnerStore extends MemoryStore {
  async getOwnerChanges(): Promise<readonly Change[]> {
    const result = await this.watch(ownerKey, 0, 1);
    return result.kind === 'ok' ? result.changes.map(({kind}) => kind) : [];
  }
}

interface Member {
  readonly address: string;
  readonly owner: OwnerProcess;
  readonly events: () => string[];
  readonly lines: () => ReturnType<typeof createTestLog>['lines'];
}

/** Entries that share a store and call each other without a network. */
class Group {
  readonly store = new ObservedOwnerStore();
  readonly members: Member[] = [];
  /** Replaces the answers of single entries to an offer. */
  readonly offers = new Map<string, () => Promise<HandoverReply | undefined>>();
  /** Addresses of the entries that do not answer, like those of a previous version. */
  readonly silent = new Set<string>();

  constructor(private readonly t: Test) {}

  async add(): Promise<Member> {
    const number = this.members.length + 1;
    const address = `10.0.0.${number}:1`;
    const {log, lines} = createTestLog();
    const owner = new OwnerProcess({
      name: `entry-${number}`,
      address,
      processors: 1,
      incarnation: `run-${number}`,
      store: this.store,
      clock: new SystemClock(),
      log,
      metrics: new Metrics(),
      getOtherProcessors: () => [],
      askOwnershipEnd: async () => undefined,
      handoverCalls: this.createCalls(address),
      onOwner: () => {},
      onOwnership: () => {},
    });
    const events = () => lines.map(({event}) => String(event));
    const member = {address, owner, events, lines: () => lines};
    this.members.push(member);
    owner.start();
    this.t.teardown(() => owner.stop());
    await waitUntil(() => owner.isOwner || owner.handover.candidacy.isAvailable);
    return member;
  }

  private createCalls(sender: string): HandoverCalls {
    const getOthers = () =>
      this.members.filter(({address}) => address !== sender && !this.silent.has(address));
    return {
      findCandidates: async () =>
        getOthers().map(({address, owner}): SuccessorCandidate => ({
          address,
          ...owner.handover.candidacy,
        })),
      offer: async (address, offer) => {
        const replaced = this.offers.get(address);
        if (replaced !== undefined) return replaced();
        return getOthers()
          .find(member => member.address === address)
          ?.owner.handover.take(offer);
      },
    };
  }
}

async function createGroup(t: Test, size: number): Promise<[Group, Member, ...Member[]]> {
  const group = new Group(t);
  const first = await group.add();
  // Otherwise another one might claim first.
  await waitUntil(() => first.owner.isOwner);
  const others: Member[] = [];
  while (others.length < size - 1) others.push(await group.add());
  return [group, first, ...others];
}

function addAgent(owner: OwnerProcess): OwnerMessage[] {
  const sent: OwnerMessage[] = [];
  const link = {
    send: (message: OwnerMessage) => sent.push(message),
    destroy: () => {},
    end: () => {},
  };
  owner.addAgent('agent', link as unknown as Link<AgentMessage, OwnerMessage>, []);
  return sent;
}

void t.test(
  'an owner that drains is replaced without a time in which there is no owner',
  async t => {
    const [group, first, second] = await createGroup(t, 2);
    const sent = addAgent(first.owner);
    await first.owner.drain(limitMs);
    await waitUntil(() => second?.owner.isOwner ?? false);
    t.notOk(first.owner.isOwner);
    t.same(await group.store.getOwnerChanges(), ['written', 'written'], 'the key was never vacant');
    t.match(sent.at(-1), {kind: 'elsewhere', address: second?.address});
    t.ok(first.events().includes('handover-finished'));
    t.ok(second?.events().includes('handover-accepted'));
  },
);

void t.test('a submission that was accepted during a handover is not lost', async t => {
  const [group, first, second] = await createGroup(t, 2);
  const id = '00000000000000d1';
  const steps = [{count: 1, need: {processors: 1, memoryMb: 1, accelerators: 0}}];
  const submission = {id, queue: 'q', service: 's', spec: '', steps, acceptedAtMs: Date.now()};
  const times = {repetitions: 0, startAtMs: 0, intervalMs: 0};
  const commit = group.store.commit.bind(group.store);
  group.store.commit = async change => {
    if (change.writes.some(({key}) => key === ownerKey)) {
      group.store.put(`work/job/${id}`, JSON.stringify({...submission, ...times}));
    }
    return commit(change);
  };
  await first.owner.drain(limitMs);
  await waitUntil(() => second?.owner.isOwner ?? false);
  t.equal(second?.owner.lookUp(id).status !== undefined, true);
});

const failures: ReadonlyArray<{
  readonly name: string;
  readonly prepare: (group: Group, second: Member) => void;
}> = [
  {
    name: 'is about to leave as well',
    prepare: (_, second) => void second.owner.drain(limitMs),
  },
  {
    name: 'dies before it answers',
    prepare: (group, second) => group.offers.set(second.address, async () => undefined),
  },
  {
    name: 'fails to read the state',
    prepare: (group, second) =>
      group.offers.set(second.address, async () => ({isTaken: false, reason: 'state-not-read'})),
  },
  {
    name: 'is of a previous version',
    prepare: (group, second) => group.silent.add(second.address),
  },
];

for (const {name, prepare} of failures) {
  void t.test(`another entry is asked when the first successor ${name}`, async t => {
    const [group, first, second, third] = await createGroup(t, 3);
    if (second === undefined || third === undefined) return;
    prepare(group, second);
    await first.owner.drain(limitMs);
    await waitUntil(() => third.owner.isOwner);
    t.ok(third.events().includes('handover-accepted'));
  });

  void t.test(`the ownership is given up when the only successor ${name}`, async t => {
    const [group, first, second] = await createGroup(t, 2);
    if (second === undefined) return;
    prepare(group, second);
    await first.owner.drain(shortLimitMs);
    t.notOk(first.owner.isOwner);
    t.equal((await group.store.getOwnerChanges()).at(-1), 'removed');
  });
}

void t.test('a successor that is told to end during a handover does not claim', async t => {
  const [group, first, second, third] = await createGroup(t, 3);
  const list = group.store.list.bind(group.store);
  group.store.list = async (prefix, options) => {
    void second?.owner.drain(limitMs);
    return list(prefix, options);
  };
  await first.owner.drain(limitMs);
  await waitUntil(() => third?.owner.isOwner ?? false);
  t.notOk(second?.events().includes('ownership-claimed'));
});

void t.test('an owner that has just taken over and drains hands over again', async t => {
  const [group, first, second, third] = await createGroup(t, 3);
  await first.owner.drain(limitMs);
  // It may not have begun yet.
  const taken = [second, third].find(
    member => member?.owner.handover.candidacy.isAvailable === false,
  );
  const left = taken === second ? third : second;
  await taken?.owner.drain(limitMs);
  await waitUntil(() => left?.owner.isOwner ?? false);
  t.same(await group.store.getOwnerChanges(), ['written', 'written', 'written']);
});

void t.test('an owner goes on until the claim of its successor has taken effect', async t => {
  const [group, first, second] = await createGroup(t, 2);
  const sent = addAgent(first.owner);
  const observed: boolean[] = [];
  const commit = group.store.commit.bind(group.store);
  group.store.commit = async change => {
    if (change.writes.some(({key}) => key === ownerKey)) {
      observed.push(
        first.owner.isOwner,
        sent.some(({kind}) => kind === 'elsewhere'),
      );
    }
    return commit(change);
  };
  await first.owner.drain(limitMs);
  await waitUntil(() => second?.owner.isOwner ?? false);
  t.same(observed, [true, false]);
});

const storeFaults: ReadonlyArray<{
  readonly name: string;
  readonly break: (store: MemoryStore) => void;
  readonly reason: string;
}> = [
  {
    name: 'the list of submissions',
    break: store => (store.list = async () => ({kind: 'refused', detail: 'test'})),
    reason: 'state-not-read',
  },
  {
    name: 'the owner key',
    break: store => (store.read = async () => ({kind: 'unknown', detail: 'test'})),
    reason: 'owner-not-read',
  },
];

for (const {name, break: breakStore, reason} of storeFaults) {
  void t.test(`an entry that cannot read ${name} claims nothing`, async t => {
    const [group, first, second] = await createGroup(t, 2);
    const {revision = 0} = group.store.records.get(ownerKey) ?? {};
    breakStore(group.store);
    const reply = await second?.owner.handover.take({term: revision});
    t.same(reply, {isTaken: false, reason});
    t.ok(first.owner.isOwner);
    t.equal(group.store.records.get(ownerKey)?.revision, revision);
  });
}

void t.test('of two entries that were offered the same ownership, one gets it', async t => {
  const [group, first, second, third] = await createGroup(t, 3);
  const {revision = 0} = group.store.records.get(ownerKey) ?? {};
  const replies = await Promise.all(
    [second, third].map(member => member?.owner.handover.take({term: revision})),
  );
  t.equal(replies.filter(reply => reply?.isTaken).length, 1);
  await waitUntil(() => !first.owner.isOwner);
  const owners = [second, third].filter(member => member?.owner.isOwner);
  t.ok(owners.length <= 1);
});

void t.test('an offer by a process that is not the owner replaces nobody', async t => {
  const [group, first, second] = await createGroup(t, 2);
  const {revision = 0} = group.store.records.get(ownerKey) ?? {};
  const reply = await second?.owner.handover.take({term: revision - 1});
  t.same(reply, {isTaken: false, reason: 'not-the-owner'});
  t.ok(first.owner.isOwner);
});

void t.test('an owner and a draining process refuse offers', async t => {
  const [, first, second] = await createGroup(t, 2);
  t.same(await first.owner.handover.take({term: 1}), {isTaken: false, reason: 'is-owner'});
  await second?.owner.drain(limitMs);
  t.same(await second?.owner.handover.take({term: 1}), {isTaken: false, reason: 'draining'});
});

void t.test('a successor uses what it was handed over, except what is malformed', async t => {
  const [group, , second] = await createGroup(t, 2);
  const {revision = 0} = group.store.records.get(ownerKey) ?? {};
  const learned = {
    runTimes: [
      {queue: 'a.example/x/', count: 8, mean: Math.log(2), squaredDeviations: 0},
      {queue: 'a.example/y/', count: -1, mean: Number.NaN, squaredDeviations: 0},
    ],
    workers: 'none',
  };
  await second?.owner.handover.take({term: revision, learned});
  await waitUntil(() => second?.owner.isOwner ?? false);
  const begun = second?.lines().find(({event}) => event === 'ownership-begun');
  t.equal(begun?.learned, 1);
  const ignored = second?.lines().find(({event}) => event === 'learned-state-ignored');
  t.equal(ignored?.ignored, 2);
});

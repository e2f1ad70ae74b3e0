import {type ElectionEvent, getClaimDelayMs, type OwnerRecord} from '@chervilbeam/coordination';
import t from 'tap';
import type {ReadResult} from '../../../src/dispatch/index.js';
import {ElectionCalls} from '../../../src/dispatch/ownership/election-calls.js';
import {SystemClock} from '../../../src/loop/index.js';
import {LateStore} from '../records/late-store.js';
import {createTestLog} from '../test-log.js';

const ttlMs = 3_000;
const entryKey = 'entry/entry-1';

function createCalls(store: LateStore): {calls: ElectionCalls; events: ElectionEvent[]} {
  const events: ElectionEvent[] = [];
  const calls = new ElectionCalls({
    name: 'entry-1',
    address: '10.0.0.1:1',
    processors: 2,
    store,
    clock: new SystemClock(),
    log: createTestLog().log,
    getOtherProcessors: () => [],
    post: event => events.push(event),
  });
  return {calls, events};
}

const registrationCases: ReadonlyArray<{
  readonly name: string;
  readonly act: (calls: ElectionCalls, store: LateStore) => Promise<void>;
  /** Lease that the record of the entry is bound to. */
  readonly lease: string;
}> = [
  {
    name: 'is bound to the lease that was opened',
    act: calls => calls.openLease(ttlMs),
    lease: '1',
  },
  {
    name: 'is repeated with the next renewal after it got no reply',
    act: async (calls, store) => {
      store.faults = ['unknown'];
      await calls.openLease(ttlMs);
      await calls.renewLease('1');
    },
    lease: '1',
  },
  {
    name: 'is repeated with the next renewal after the store refused it',
    act: async (calls, store) => {
      store.faults = ['refused'];
      await calls.openLease(ttlMs);
      await calls.renewLease('1');
    },
    lease: '1',
  },
  {
    name: 'replaces that of a previous incarnation',
    act: async (calls, store) => {
      await createCalls(store).calls.openLease(ttlMs);
      await calls.openLease(ttlMs);
    },
    lease: '2',
  },
  {
    name: 'under an older lease that takes effect late does not replace the newer one',
    act: async (calls, store) => {
      store.held = 1;
      await calls.openLease(ttlMs);
      await calls.openLease(ttlMs);
      await store.deliver();
    },
    lease: '2',
  },
  {
    name: 'of a previous incarnation that takes effect late does not replace the newer one',
    act: async (calls, store) => {
      store.held = 1;
      await createCalls(store).calls.openLease(ttlMs);
      await calls.openLease(ttlMs);
      await store.deliver();
    },
    lease: '2',
  },
  {
    name: 'is repeated when one under an older lease took effect before it',
    act: async (calls, store) => {
      store.held = 2;
      await calls.openLease(ttlMs);
      await calls.openLease(ttlMs);
      await store.deliver();
      await calls.renewLease('2');
    },
    lease: '2',
  },
];

for (const {name, act, lease} of registrationCases) {
  void t.test(`the registration of an entry ${name}`, async t => {
    const store = new LateStore();
    await act(createCalls(store).calls, store);
    t.equal(store.records.get(entryKey)?.lease, lease);
  });
}

void t.test('an entry that is registered does not write its record with each renewal', async t => {
  const store = new LateStore();
  const {calls} = createCalls(store);
  await calls.openLease(ttlMs);
  const {revision} = store;
  await calls.renewLease('1');
  t.equal(store.revision, revision);
});

const claim = {kind: 'claim', lease: '1', nonce: 'one-1', expectedRevision: 0} as const;
const other: OwnerRecord = {name: 'entry-2', address: '10.0.0.2:1', nonce: 'two-1'};

/** A store in which another process claims and gives up the ownership between the reads of the owners and the generation. */
class InterleavedStore extends LateStore {
  private finishClaim = () => {};
  private readonly otherClaim = new Promise<void>(resolve => {
    this.finishClaim = resolve;
  });

  override async read(key: string): Promise<ReadResult> {
    if (key === 'generation') await this.otherClaim;
    const result = await super.read(key);
    if (key === 'owners') {
      this.put('generation', '2');
      this.put('owners', JSON.stringify([other]));
      this.finishClaim();
    }
    return result;
  }
}

void t.test('a claim does not drop an owner that claimed while it read the owners', async t => {
  const store = new InterleavedStore();
  store.put('generation', '1');
  store.put('owners', '[]');
  const {calls, events} = createCalls(store);
  await calls.openLease(ttlMs);
  await calls.claim(claim);
  t.match(events.at(-1), {kind: 'call-failed', call: 'claim'});
  t.same(JSON.parse(store.records.get('owners')?.value ?? ''), [other]);
});

void t.test('a claim that takes effect late does not replace that of a newer owner', async t => {
  const store = new LateStore();
  const {calls, events} = createCalls(store);
  await calls.openLease(ttlMs);
  store.held = 1;
  await calls.claim(claim);
  t.match(events.at(-1), {kind: 'call-failed', call: 'claim'});
  await calls.claim({...claim, nonce: 'one-2'});
  await store.endLease('1');
  t.match(await store.deliver(), [{kind: 'conflict'}]);
  t.equal(store.records.get('work/owner'), undefined);
});

/** Round trips in milliseconds of the calls that open and renew a lease, and the smallest of all calls. */
const roundTripCases: ReadonlyArray<{
  readonly name: string;
  readonly lease: readonly number[];
  readonly others?: number;
  readonly expected: number;
}> = [
  {name: 'of the only call', lease: [40], expected: 40},
  {name: 'of a later call than the first, cold one', lease: [90, 5, 30], expected: 5},
  {name: 'of another store call', lease: [90], others: 4, expected: 4},
];

for (const {name, lease, others, expected} of roundTripCases) {
  void t.test(`a claim is delayed by the smallest round trip: ${name}`, async t => {
    const store = new LateStore();
    const events: ElectionEvent[] = [];
    let timeMs = 0;
    const times = lease.flatMap(ms => [timeMs, (timeMs += ms)]);
    const calls = new ElectionCalls({
      name: 'entry-1',
      address: '10.0.0.1:1',
      processors: 2,
      store,
      clock: {now: () => times.shift() ?? timeMs, wallTime: () => 0},
      log: createTestLog().log,
      getOtherProcessors: () => [],
      ...(others !== undefined && {getRoundTripMs: () => others}),
      post: event => events.push(event),
    });
    await calls.openLease(ttlMs);
    for (let call = 1; call < lease.length; call += 1) await calls.renewLease('1');
    calls.updateClaimDelay();
    const inputs = {roundTripMs: expected, processors: 2, otherProcessors: []};
    t.same(events.at(-1), {kind: 'claim-delay', delayMs: getClaimDelayMs(inputs)});
  });
}

import t, {type Test} from 'tap';
import {watchGraceMs, type WatchResult} from '../../../src/dispatch/index.js';
import {OwnerProcess} from '../../../src/dispatch/ownership/owner-process.js';
import {SystemClock} from '../../../src/loop/index.js';
import {Metrics} from '../../../src/metrics/index.js';
import {MemoryStore} from '../records/memory-store.js';
import {createTestLog} from '../test-log.js';
import {waitUntil} from '../wait-until.js';

const id = '00000000000000c1';
/** Time in milliseconds that a new connection and the call on it may take on a slow link. */
const repeatMs = 400;

/** A store on which the first watch of a prefix that finds no change gets no answer, as on a connection that has gone silent. */
class SilentWatchStore extends MemoryStore {
  /** Time in milliseconds until the silent watch has failed; undefined before it was sent. */
  silentMs: number | undefined;

  /** `change` changes the store while the watch is silent. */
  constructor(
    private readonly silentPrefix: string,
    private readonly change: (store: SilentWatchStore) => void,
  ) {
    super();
  }

  override async watch(prefix: string, after: number, waitMs: number): Promise<WatchResult> {
    if (prefix !== this.silentPrefix || this.silentMs !== undefined) {
      return super.watch(prefix, after, waitMs);
    }
    const result = await super.watch(prefix, after, 0);
    if (result.kind === 'ok' && result.changes.length > 0) return result;
    this.silentMs = waitMs + watchGraceMs;
    this.change(this);
    return {kind: 'unknown', detail: 'timeout'};
  }
}

function startOwner(t: Test, store: MemoryStore, cancelBoundMs?: number) {
  const {log, lines} = createTestLog();
  const owner = new OwnerProcess({
    name: 'entry-1',
    address: '10.0.0.1:1',
    processors: 1,
    incarnation: 'one',
    store,
    ...(cancelBoundMs !== undefined && {cancelBoundMs}),
    clock: new SystemClock(),
    log,
    metrics: new Metrics(),
    getOtherProcessors: () => [],
    askOwnershipEnd: async () => undefined,
    onOwner: () => {},
    onOwnership: () => {},
  });
  t.teardown(() => owner.drain());
  owner.start();
  return {owner, lines};
}

const cases: ReadonlyArray<{
  readonly name: string;
  readonly cancelBoundMs?: number;
  readonly boundMs: number;
}> = [
  {name: 'settings without a bound', boundMs: 3_000},
  {name: 'a bound of 3 s', cancelBoundMs: 3_000, boundMs: 3_000},
  {name: 'a bound of 5 s', cancelBoundMs: 5_000, boundMs: 5_000},
];

for (const {name, cancelBoundMs, boundMs} of cases) {
  // Tasks of a cancelled submission were started for 5 s, because the silent watch was given up only then.
  void t.test(`an owner hears of a cancel in time beside a silent watch: ${name}`, async t => {
    const store = new SilentWatchStore('work/', changed => changed.put(`work/cancel/${id}`, '{}'));
    const {lines} = startOwner(t, store, cancelBoundMs);
    await waitUntil(() => lines.some(line => line.event === 'cancel-received'));
    t.match(
      lines.find(line => line.event === 'cancel-received'),
      {submission: id, from: 'store'},
    );
    const {silentMs = Number.POSITIVE_INFINITY} = store;
    t.ok(silentMs + repeatMs <= boundMs, `the watch fails after ${silentMs} ms`);
  });
}

/** Lease in milliseconds of an owner, after whose end another process takes over. */
const leaseMs = 3_000;
const formerOwner = JSON.stringify({name: 'entry-2', address: '10.0.0.2:1', nonce: 'two-1'});

// A takeover came 4.6 s after the end of the owner, because the key's watch had gone silent and was given up after 5.2 s.
void t.test('a silent watch does not delay a takeover beyond the lease', async t => {
  const store = new SilentWatchStore('work/owner', changed => void changed.endLease('lease'));
  store.put('work/owner', formerOwner, 'lease');
  const {owner} = startOwner(t, store);
  await waitUntil(() => owner.isOwner);
  const {silentMs = Number.POSITIVE_INFINITY} = store;
  t.ok(silentMs + repeatMs <= leaseMs, `the watch fails after ${silentMs} ms`);
});

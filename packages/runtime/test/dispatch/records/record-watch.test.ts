import t from 'tap';
import {RecordWatch} from '../../../src/dispatch/index.js';
import {SystemClock} from '../../../src/loop/index.js';
import {createTestLog} from '../test-log.js';
import {MemoryStore} from './memory-store.js';

function startWatch(store: MemoryStore) {
  const seen = new Map<string, string>();
  const watch = new RecordWatch({
    store,
    clock: new SystemClock(),
    log: createTestLog().log,
    prefix: 'a/',
    getWaitMs: () => 50,
    onList: records => records.forEach(record => seen.set(record.key, record.value)),
    onChanges: changes => {
      for (const change of changes) {
        if (change.kind === 'written') seen.set(change.record.key, change.record.value);
        else seen.delete(change.key);
      }
    },
  });
  const ended = watch.run();
  return {seen, stop: () => (watch.stop(), ended)};
}

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) await new Promise(resolve => setTimeout(resolve, 5));
}

const cases: ReadonlyArray<{readonly name: string; readonly break: (store: MemoryStore) => void}> =
  [
    {name: 'changes are delivered when no call fails', break: () => {}},
    {
      name: 'no change is missed when the history is compacted, because the records are listed again',
      break: store => store.compact(),
    },
    {
      name: 'no change is missed when calls fail, because they are retried',
      break: store => (store.faults = ['unknown', 'refused', 'unknown']),
    },
  ];

for (const {name, break: breakStore} of cases) {
  void t.test(name, async t => {
    const store = new MemoryStore();
    store.put('a/1', 'old');
    store.put('b/1', 'other');
    const {seen, stop} = startWatch(store);
    await waitUntil(() => seen.get('a/1') === 'old');
    breakStore(store);
    store.put('a/2', 'new');
    store.put('a/1', 'newer');
    await waitUntil(() => seen.get('a/2') === 'new' && seen.get('a/1') === 'newer');
    t.equal(seen.has('b/1'), false);
    await stop();
  });
}

/** Longest long-poll time in milliseconds after a failure: a store that is silent again is noticed soon. */
const maxRetryWaitMs = 500;

void t.test('calls are short after one without an answer, until one is answered again', async t => {
  const store = new MemoryStore();
  const waits: number[] = [];
  const watchStore = store.watch.bind(store);
  store.watch = (prefix, after, waitMs) => {
    waits.push(waitMs);
    // The second call gets no answer, nor does the third.
    store.faults = waits.length === 2 || waits.length === 3 ? ['unknown'] : [];
    return watchStore(prefix, after, Math.min(waitMs, 20));
  };
  const watch = new RecordWatch({
    store,
    clock: new SystemClock(),
    log: createTestLog().log,
    prefix: 'a/',
    getWaitMs: () => 4_000,
    onList: () => {},
    onChanges: () => {},
  });
  const ended = watch.run();
  await waitUntil(() => waits.length >= 5);
  watch.stop();
  await ended;
  t.same(
    waits.slice(0, 5).map(waitMs => waitMs > maxRetryWaitMs),
    [true, true, false, false, true],
  );
});

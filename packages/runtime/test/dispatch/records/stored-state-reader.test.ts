import t from 'tap';
import {StoredStateReader} from '../../../src/dispatch/records/stored-state.js';
import {createTestLog} from '../test-log.js';
import {MemoryStore} from './memory-store.js';

const step = {count: 1, need: {processors: 1, memoryMb: 1, accelerators: 0}};

function putSubmission(store: MemoryStore, id: string): void {
  const submission = {
    id,
    queue: 'a.example/proofs/',
    service: 'press',
    spec: 'spec',
    steps: [step],
    repetitions: 0,
    startAtMs: 0,
    intervalMs: 0,
    acceptedAtMs: 1,
  };
  store.put(`work/job/${id}`, JSON.stringify(submission));
}

function putProgress(store: MemoryStore, id: string, finished: string): void {
  const record = {finished: {'0.0': finished}, failures: [], checkpoints: []};
  store.put(`progress/${id}`, JSON.stringify(record));
}

function remove(store: MemoryStore, keys: readonly string[]): Promise<unknown> {
  return store.commit({conditions: [], writes: [], removals: keys});
}

const first = '000000000000000a';
const second = '000000000000000b';

/** Changes between the read ahead and the claim, and what the new owner must know of them. */
const cases: ReadonlyArray<{
  readonly name: string;
  readonly change: (store: MemoryStore) => unknown;
  readonly expected: ReadonlyArray<{id: string; finished?: string; cancelled?: boolean}>;
}> = [
  {name: 'nothing', change: () => {}, expected: [{id: first, finished: '1'}]},
  {
    name: 'a task that ended, which would run again',
    change: store => putProgress(store, first, '3'),
    expected: [{id: first, finished: '3'}],
  },
  {
    name: 'a submission that was accepted, which would be lost',
    change: store => putSubmission(store, second),
    expected: [{id: first, finished: '1'}, {id: second}],
  },
  {
    name: 'a cancel',
    change: store => store.put(`work/cancel/${first}`, '{}'),
    expected: [{id: first, finished: '1', cancelled: true}],
  },
  {
    name: 'a submission that was forgotten',
    change: store => remove(store, [`work/job/${first}`, `progress/${first}`]),
    expected: [],
  },
  {
    name: 'a submission that was forgotten and handed in again',
    change: async store => {
      await remove(store, [`work/job/${first}`, `progress/${first}`]);
      putSubmission(store, first);
    },
    expected: [{id: first}],
  },
  {
    name: 'a history that is gone',
    change: store => {
      putProgress(store, first, '3');
      store.compact();
    },
    expected: [{id: first, finished: '3'}],
  },
  {
    name: 'a store that refuses the changes',
    change: store => {
      putProgress(store, first, '3');
      store.faults = ['refused', 'unknown', 'refused'];
    },
    expected: [{id: first, finished: '3'}],
  },
];

for (const {name, change, expected} of cases) {
  void t.test(`a state read ahead is completed up to the claim after ${name}`, async t => {
    const store = new MemoryStore();
    putSubmission(store, first);
    putProgress(store, first, '1');
    const reader = new StoredStateReader({
      store,
      log: createTestLog().log,
      maxBytes: Number.POSITIVE_INFINITY,
    });
    t.ok(await reader.waitUntilRead());
    await change(store);
    store.put('work/owner', '{}');
    const claimRevision = store.revision;
    const state = await reader.finish(claimRevision, () => true);
    const found = state?.submissions.map(({submission, progress, cancelled}) => ({
      id: submission.id,
      ...(progress && {finished: progress.finished['0.0']}),
      ...(cancelled && {cancelled}),
    }));
    t.same(found, expected);
    t.ok(Number(state?.revision) >= claimRevision, 'the watch continues after the claim');
  });
}

void t.test('a watch that is behind the claim does not complete the state', async t => {
  const store = new MemoryStore();
  putSubmission(store, first);
  const reader = new StoredStateReader({store, log: createTestLog().log, maxBytes: 1_000_000});
  await reader.waitUntilRead();
  putProgress(store, first, '3');
  const behind = store.revision - 1;
  const watch = store.watch.bind(store);
  store.watch = async (prefix, after, waitMs) => {
    const result = await watch(prefix, after, waitMs);
    return result.kind === 'ok' ? {kind: 'ok', changes: [], revision: behind} : result;
  };
  const state = await reader.finish(store.revision, () => true);
  t.same(state?.submissions[0]?.progress?.finished, {'0.0': '3'});
});

void t.test('a read that was cancelled is repeated', async t => {
  const store = new MemoryStore();
  putSubmission(store, first);
  const reader = new StoredStateReader({store, log: createTestLog().log, maxBytes: 1_000_000});
  reader.cancel();
  const state = await reader.finish(store.revision, () => true);
  t.equal(state?.submissions.length, 1);
});

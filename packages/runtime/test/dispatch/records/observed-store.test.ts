import t from 'tap';
import type {RecordStore} from '../../../src/dispatch/index.js';
import {ObservedStore} from '../../../src/dispatch/records/observed-store.js';
import {StoreHealth} from '../../../src/dispatch/records/store-health.js';
import {MemoryStore, type StoreFault} from './memory-store.js';

const commit = {conditions: [], writes: [{key: 'a', value: '1'}], removals: []};
/** Time in milliseconds after which a failure without a later success counts. */
const laterMs = 1_000;

const cases: ReadonlyArray<{
  readonly name: string;
  readonly faults?: readonly StoreFault[];
  readonly call: (store: RecordStore) => Promise<unknown>;
  readonly isFailing: boolean;
}> = [
  {name: 'a read', call: store => store.read('a'), isFailing: false},
  {name: 'a refused read', faults: ['refused'], call: store => store.read('a'), isFailing: true},
  {
    name: 'a list without an answer',
    faults: ['unknown'],
    call: store => store.list('a'),
    isFailing: true,
  },
  {name: 'a commit', call: store => store.commit(commit), isFailing: false},
  {
    name: 'a commit on a condition that does not hold',
    call: store => store.commit({...commit, conditions: [{key: 'a', revision: 99}]}),
    isFailing: false,
  },
  {name: 'a lost commit', faults: ['lost'], call: store => store.commit(commit), isFailing: true},
  {name: 'a watch without changes', call: store => store.watch('a', 1, 10), isFailing: false},
  {
    name: 'a refused watch',
    faults: ['refused'],
    call: store => store.watch('a', 1, 10),
    isFailing: true,
  },
  {name: 'a lease that has ended', call: store => store.renewLease('none'), isFailing: false},
];

for (const {name, faults = [], call, isFailing} of cases) {
  void t.test(`${name} is ${isFailing ? 'a failure' : 'an answer'}`, async t => {
    let now = 0;
    const health = new StoreHealth({now: () => now, wallTime: () => now});
    const inner = new MemoryStore();
    inner.faults = [...faults];
    await call(new ObservedStore(inner, health));
    now += laterMs;
    t.equal(health.isFailing, isFailing);
  });
}

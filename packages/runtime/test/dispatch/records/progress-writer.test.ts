import type {ProgressWrite} from '@chervilbeam/coordination';
import t from 'tap';
import {ProgressWriter} from '../../../src/dispatch/records/progress-writer.js';
import {ownerKey, progressPrefix} from '../../../src/dispatch/records/store-keys.js';
import {LateStore} from './late-store.js';

const id = '00000000000000a1';

/** Creates a write after which a submission has a number of finished tasks. */
function createWrite(finished: number): ProgressWrite {
  const tasks = {'0.0': String(finished)};
  return {
    progress: [{id, record: {finished: tasks, failures: [], checkpoints: []}}],
    forgotten: [],
  };
}

/** A step of a case: a write with its sequence and number of finished tasks, or something that happens at the store. */
type Step =
  | {
      readonly write: readonly [sequence: number, finished: number];
      readonly fails?: 'held' | 'lost' | 'refused' | 'journal-refused';
      readonly result: string;
    }
  | {readonly event: 'late-attempts' | 'other-owner'};

const cases: ReadonlyArray<{
  readonly name: string;
  readonly steps: readonly Step[];
  readonly stored: number | undefined;
}> = [
  {
    name: 'an attempt that is executed after a newer write',
    steps: [
      {write: [1, 1], fails: 'held', result: 'unknown'},
      {write: [1, 1], result: 'ok'},
      {write: [2, 2], result: 'ok'},
      {event: 'late-attempts'},
    ],
    stored: 2,
  },
  {
    name: 'a write after an attempt that was executed late',
    steps: [
      {write: [1, 1], fails: 'held', result: 'unknown'},
      {write: [1, 1], result: 'ok'},
      {write: [2, 2], result: 'ok'},
      {event: 'late-attempts'},
      {write: [3, 3], result: 'ok'},
    ],
    stored: 3,
  },
  {
    name: 'an attempt that is executed before its repetition',
    steps: [
      {write: [1, 1], fails: 'held', result: 'unknown'},
      {event: 'late-attempts'},
      {write: [1, 1], result: 'ok'},
      {write: [2, 2], result: 'ok'},
    ],
    stored: 2,
  },
  {
    name: 'an attempt whose reply is lost, and a repetition without effect',
    steps: [
      {write: [1, 1], result: 'ok'},
      {write: [2, 2], fails: 'lost', result: 'unknown'},
      {write: [2, 2], fails: 'refused', result: 'refused'},
      {write: [2, 2], result: 'ok'},
      {write: [3, 3], result: 'ok'},
    ],
    stored: 3,
  },
  {
    name: 'a first write for which the journal cannot be read',
    steps: [
      {write: [1, 1], fails: 'journal-refused', result: 'refused'},
      {write: [1, 1], result: 'ok'},
    ],
    stored: 1,
  },
  {
    name: 'an attempt that is executed under the next owner',
    steps: [
      {write: [1, 1], result: 'ok'},
      {write: [2, 2], fails: 'held', result: 'unknown'},
      {event: 'other-owner'},
      {event: 'late-attempts'},
      {write: [2, 2], result: 'conflict'},
    ],
    stored: 1,
  },
  {
    name: 'a repetition under the next owner of an attempt that was stored',
    steps: [
      {write: [1, 1], fails: 'lost', result: 'unknown'},
      {event: 'other-owner'},
      {write: [1, 1], result: 'conflict'},
    ],
    stored: 1,
  },
];

for (const {name, steps, stored} of cases) {
  void t.test(`the writes of an owner take effect in order: ${name}`, async t => {
    const store = new LateStore();
    store.put(ownerKey, 'one');
    const term = store.revision;
    const writer = new ProgressWriter(store);
    for (const step of steps) {
      if ('event' in step) {
        if (step.event === 'late-attempts') await store.deliver();
        else store.put(ownerKey, 'two');
        continue;
      }
      const {write, fails, result} = step;
      if (fails === 'held') store.held = 1;
      else if (fails === 'journal-refused') store.faults = ['refused'];
      else if (fails !== undefined && write[0] === 1) store.faults = [undefined, fails];
      else if (fails !== undefined) store.faults = [fails];
      const {kind} = await writer.write(term, write[0], createWrite(write[1]));
      t.equal(kind, result, `write ${write[0]}`);
    }
    const record = JSON.parse(store.records.get(progressPrefix + id)?.value ?? '{}') as unknown;
    t.match(record, {finished: {'0.0': String(stored)}});
  });
}

import {getSubmissionBytes} from '@chervilbeam/coordination';
import t from 'tap';
import {StoredSubmissions} from '../../../src/dispatch/records/stored-submissions.js';
import {createTestLog} from '../test-log.js';

const step = {count: 1, need: {processors: 1, memoryMb: 1, accelerators: 0}};

function createRecord(id: string, stepCount: number) {
  const submission = {
    id,
    queue: 'a.example/proofs/',
    service: 'press',
    spec: 'spec',
    steps: Array.from({length: stepCount}, () => step),
    repetitions: 0,
    startAtMs: 0,
    intervalMs: 0,
    acceptedAtMs: 1,
  };
  return {key: `work/job/${id}`, value: JSON.stringify(submission), revision: 1};
}

const records = [
  createRecord('000000000000000a', 900),
  createRecord('000000000000000b', 1),
  createRecord('000000000000000c', 500),
  createRecord('000000000000000d', 2),
  {key: 'work/cancel/000000000000000a', value: '{}', revision: 1},
  {
    key: 'progress/000000000000000c',
    value: JSON.stringify({finished: {}, failures: [], checkpoints: []}),
    revision: 2,
  },
  {key: 'work/owner', value: '{}', revision: 3},
];

const cases: ReadonlyArray<{
  readonly name: string;
  readonly maxBytes?: number;
  readonly progress?: string;
  readonly loaded: readonly string[];
  readonly deferred: ReadonlyArray<{id: string; hasStarted: boolean; cancelled: boolean}>;
}> = [
  {
    name: 'all are loaded while there is memory for them',
    loaded: ['a', 'b', 'c', 'd'],
    deferred: [],
  },
  {
    name: 'the largest are deferred, with what callers may ask of them',
    maxBytes: 20_000,
    loaded: ['b', 'd'],
    deferred: [
      {id: 'a', hasStarted: false, cancelled: true},
      {id: 'c', hasStarted: true, cancelled: false},
    ],
  },
  {
    name: 'one with unreadable progress is neither loaded nor deferred',
    maxBytes: 20_000,
    progress: 'odd',
    loaded: ['b', 'd'],
    deferred: [{id: 'a', hasStarted: false, cancelled: true}],
  },
];

for (const {name, maxBytes, progress, loaded, deferred} of cases) {
  for (const order of ['as listed', 'reversed']) {
    void t.test(`${name}; records ${order}`, async t => {
      const stored = new StoredSubmissions(createTestLog().log, maxBytes);
      const pages = records.map(record =>
        progress !== undefined && record.key.startsWith('progress/')
          ? {...record, value: progress}
          : record,
      );
      if (order === 'reversed') pages.reverse();
      for (const record of pages) stored.add([record]);
      const getLetter = (id: string) => id.slice(-1);
      t.same(
        stored
          .getLoaded()
          .map(({submission}) => getLetter(submission.id))
          .sort(),
        loaded,
      );
      const found = stored.getDeferred().map(({submission, hasStarted, cancelled}) => {
        t.equal(submission.steps.length, 0, 'only its identity is kept');
        return {id: getLetter(submission.id), hasStarted, cancelled};
      });
      t.same(
        found.sort((a, b) => a.id.localeCompare(b.id)),
        deferred,
      );
      const bytes = stored
        .getLoaded()
        .reduce((sum, {submission}) => sum + getSubmissionBytes(submission), 0);
      t.ok(bytes <= (maxBytes ?? Number.POSITIVE_INFINITY));
    });
  }
}

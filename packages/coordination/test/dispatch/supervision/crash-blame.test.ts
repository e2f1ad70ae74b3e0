import t from 'tap';
import {ActiveSubmission} from '../../../src/dispatch/active-submission.js';
import {CrashHistory} from '../../../src/dispatch/supervision/crash-history.js';
import {blameCrash} from '../../../src/dispatch/supervision/crash-blame.js';
import {Run, type Task} from '../../../src/dispatch/task.js';
import {WorkerView} from '../../../src/dispatch/worker-view.js';
import {createStep, createSubmission} from '../fleet/shared-load.js';

const worker = new WorkerView(
  'agent',
  {
    life: 'worker@1',
    id: 'worker',
    service: 'service',
    dataCentre: 'dc',
    rack: 'r0',
    labels: [],
    capacity: {processors: 16, memoryMb: 64_000, accelerators: 0, slots: 0},
    state: 'ready',
  },
  0,
);

/** Number of tasks of each submission. */
const taskCount = 2;

/** One run on the crashed worker: submission, age in milliseconds, and earlier crashes of its task. */
type RunCase = readonly [submission: string, ageMs: number, early?: number, late?: number];

const lives = (name: string, count = 0) =>
  Array.from({length: count}, (_, index) => `${name}@${index}`);

const cases: ReadonlyArray<{
  readonly name: string;
  readonly runs: readonly RunCase[];
  readonly expected: ReadonlyArray<readonly [submission: string, verdict: string]>;
}> = [
  {
    name: 'first crash: young runs become suspects, others are noted',
    runs: [
      ['a', 10],
      ['b', 200],
      ['c', 900],
      ['d', 12_000],
    ],
    expected: [
      ['a', 'early'],
      ['b', 'early'],
      ['c', 'late'],
    ],
  },
  {name: 'no young run', runs: [['c', 900]], expected: [['c', 'late']]},
  {
    name: 'second crash of the only young run: a second wave of crashes is as likely',
    runs: [
      ['a', 10, 1],
      ['c', 900],
    ],
    expected: [
      ['a', 'early'],
      ['c', 'late'],
    ],
  },
  {
    name: 'third crash of the only young run: given up',
    runs: [
      ['a', 10, 2],
      ['c', 900],
    ],
    expected: [['a', 'early given up']],
  },
  {
    name: 'third crash beside another young run: not decisive, and no new suspect',
    runs: [
      ['a', 10, 2],
      ['b', 200],
    ],
    expected: [
      ['a', 'early'],
      ['b', 'late'],
    ],
  },
  {
    name: 'fourth crash beside another young run: given up, and nothing is held against the others',
    runs: [
      ['a', 10, 3],
      ['b', 200],
      ['c', 1_500, 0, 3],
    ],
    expected: [['a', 'early given up']],
  },
  {
    name: 'fifth crash, of which earlier ones were held against other suspects: given up',
    runs: [
      ['a', 10, 2, 2],
      ['b', 10, 1],
    ],
    expected: [['a', 'early given up']],
  },
  {
    name: 'two suspects: not decisive',
    runs: [
      ['a', 10, 2],
      ['b', 10, 2],
    ],
    expected: [
      ['a', 'early'],
      ['b', 'early'],
    ],
  },
  {
    name: 'two suspects of one submission: decisive',
    runs: [
      ['a', 10, 2],
      ['a', 10, 2],
    ],
    expected: [
      ['a', 'early given up'],
      ['a', 'early given up'],
    ],
  },
  {
    name: 'a suspect that has outlived its crash is no suspect',
    runs: [
      ['a', 900, 1],
      ['b', 10],
    ],
    expected: [
      ['a', 'late'],
      ['b', 'early'],
    ],
  },
  {
    name: 'third late crash: other causes are still likely',
    runs: [['a', 1_500, 0, 2]],
    expected: [['a', 'late']],
  },
  {
    name: 'fourth late crash while the suspect runs alone: given up',
    runs: [
      ['a', 1_500, 0, 3],
      ['a', 1_500, 0, 3],
      ['b', 12_000],
    ],
    expected: [
      ['a', 'late given up'],
      ['a', 'late given up'],
    ],
  },
  {
    name: 'fourth late crash beside another task: as when a data centre fails time and again',
    runs: [
      ['a', 1_500, 0, 3],
      ['b', 1_500, 0, 3],
    ],
    expected: [
      ['a', 'late'],
      ['b', 'late'],
    ],
  },
  {
    name: 'an early crash after late ones: late ones have other causes and do not count',
    runs: [
      ['a', 10, 0, 3],
      ['b', 200],
    ],
    expected: [
      ['a', 'early'],
      ['b', 'late'],
    ],
  },
  {
    name: 'an early crash after an early and late ones beside another young run',
    runs: [
      ['a', 10, 1, 2],
      ['b', 200],
    ],
    expected: [
      ['a', 'early'],
      ['b', 'late'],
    ],
  },
  {
    name: 'a serving task, which is started again however it ends',
    runs: [['serving', 10, 5, 5]],
    expected: [['serving', 'early']],
  },
];

for (const {name, runs, expected} of cases) {
  void t.test(name, async t => {
    const submissions = new Map<string, ActiveSubmission>();
    const crashedRuns = runs.map(([id, ageMs, early, late]) => {
      const submission = submissions.get(id) ?? createActiveSubmission(id);
      submissions.set(id, submission);
      const task = takeTask(submission);
      task.crashes = new CrashHistory(lives('early', early), lives('late', late));
      return {run: new Run(task, 1, worker, 0), ageMs};
    });
    const verdicts = blameCrash(crashedRuns).map(({task, timing, isGivenUp}) => [
      task.submission.id,
      isGivenUp ? `${timing} given up` : timing,
    ]);
    t.same(verdicts.sort(), [...expected].sort());
  });
}

function createActiveSubmission(id: string): ActiveSubmission {
  const submission = createSubmission(id, 'queue', [
    createStep({count: taskCount, lasting: id === 'serving'}),
  ]);
  const active = new ActiveSubmission({submission, queue: undefined, arrivedAt: 0});
  active.openDueOccurrences(0, 0);
  return active;
}

/** Returns a task without crashes. */
function takeTask(submission: ActiveSubmission): Task {
  for (let index = 0; index < taskCount; index += 1) {
    const task = submission.getTask(0, 0, index);
    if (task?.crashes.count === 0) return task;
  }
  throw new RangeError('no task left');
}

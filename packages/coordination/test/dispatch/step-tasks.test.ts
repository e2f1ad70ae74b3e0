import t from 'tap';
import {ActiveSubmission} from '../../src/dispatch/active-submission.js';
import {DispatchState} from '../../src/dispatch/dispatch-state.js';
import {defaultDispatchTiming} from '../../src/dispatch/dispatch-timing.js';
import {AdviceTickets} from '../../src/dispatch/placement/advice-tickets.js';
import {ProgressJournal} from '../../src/dispatch/progress-journal.js';
import {RunCommands} from '../../src/dispatch/run-commands.js';
import type {StepTasks} from '../../src/dispatch/step-tasks.js';
import {SubmissionEnds} from '../../src/dispatch/submission-ends.js';
import {Run, type Task} from '../../src/dispatch/task.js';
import {WorkerView} from '../../src/dispatch/worker-view.js';
import type {ProgressRecord, Step} from '../../src/submissions/index.js';
import {createStep, createSubmission} from './fleet/shared-load.js';

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

/** Number of tasks of the step. */
const count = 6;

interface Fixture {
  readonly step?: Partial<Step>;
  readonly progress?: Partial<ProgressRecord>;
  readonly isInDoubt?: boolean;
  readonly startAtMs?: number;
}

const cases: ReadonlyArray<{
  readonly name: string;
  readonly fixture?: Fixture;
  readonly act?: (group: StepTasks) => void;
  /** Indices of the tasks that may be started, in order. */
  readonly waiting: readonly number[];
  readonly unfinished: number;
  readonly idle: number;
  /** Number of tasks that have an object before any of them is asked for. */
  readonly known: number;
}> = [
  {
    name: 'tasks that nothing is known of are alike',
    waiting: all(),
    unfinished: 6,
    idle: 6,
    known: 0,
  },
  {
    name: 'stored finished tasks do not run again',
    fixture: {progress: {finished: {'0.0': '5'}}},
    waiting: [1, 3, 4, 5],
    unfinished: 4,
    idle: 4,
    known: 0,
  },
  {
    name: 'a stored set with more items than the step has tasks does not finish it',
    fixture: {progress: {finished: {'0.0': '0ff'}}},
    waiting: [0, 1, 2, 3],
    unfinished: 4,
    idle: 4,
    known: 0,
  },
  {
    name: 'stored failures, checkpoints and crashes are known, those of finished tasks are not',
    fixture: {
      progress: {
        finished: {'0.0': '1'},
        failures: [
          [0, 0, 0, [1]],
          [0, 0, 4, [1]],
        ],
        checkpoints: [[0, 0, 2, 'saved']],
        crashes: [[0, 0, 9, ['life'], []]],
      },
    },
    waiting: [4, 2, 1, 3, 5],
    unfinished: 5,
    idle: 5,
    known: 2,
  },
  {
    name: 'no task starts while a previous owner may have started it',
    fixture: {isInDoubt: true},
    waiting: [],
    unfinished: 6,
    idle: 6,
    known: 0,
  },
  {
    name: 'no task starts before its occurrence is due',
    fixture: {startAtMs: 1_000},
    waiting: [],
    unfinished: 6,
    idle: 6,
    known: 0,
  },
  {
    name: 'a task with a run does not wait',
    act: group => addRun(group.getTask(2)),
    waiting: [0, 1, 3, 4, 5],
    unfinished: 6,
    idle: 5,
    known: 1,
  },
  {
    name: 'a task whose run was lost goes first',
    act: group => {
      const task = group.getTask(4);
      task.remove(addRun(task));
    },
    waiting: [4, 0, 1, 2, 3, 5],
    unfinished: 6,
    idle: 6,
    known: 1,
  },
  {
    name: 'a finished task is forgotten once it has no runs',
    act: group => {
      const task = group.getTask(0);
      const run = addRun(task);
      group.finish(task);
      task.remove(run);
    },
    waiting: [1, 2, 3, 4, 5],
    unfinished: 5,
    idle: 5,
    known: 0,
  },
  {
    name: 'a finished task that still runs is kept, so that its run is stopped',
    act: group => {
      const task = group.getTask(0);
      addRun(task);
      group.finish(task);
    },
    waiting: [1, 2, 3, 4, 5],
    unfinished: 5,
    idle: 5,
    known: 1,
  },
  {
    name: 'a gang finishes as a whole, also the members that this owner knows nothing of',
    act: group => group.finishAll(),
    waiting: [],
    unfinished: 0,
    idle: 0,
    known: 0,
  },
];

for (const {name, fixture = {}, act, waiting, unfinished, idle, known} of cases) {
  void t.test(name, async t => {
    const group = createGroup(fixture);
    act?.(group);
    t.equal([...group.knownTasks].length, known, 'known');
    t.equal(group.unfinishedCount, unfinished, 'unfinished');
    t.equal(group.idleCount, idle, 'idle');
    t.equal(group.hasWaiting(1), waiting.length > 0, 'has waiting');
    t.equal(group.areAllWaiting(1), waiting.length === count, 'all waiting');
    t.same(
      [...group.getWaiting(1)].map(({index}) => index),
      waiting,
    );
  });
}

for (const index of [-1, count, 0.5, Number.NaN]) {
  void t.test(`no step has a task ${index}`, async t => {
    t.throws(() => createGroup({}).getTask(index), RangeError);
  });
}

function all(): number[] {
  return Array.from({length: count}, (_, index) => index);
}

function createGroup({step, progress, isInDoubt, startAtMs}: Fixture): StepTasks {
  const schedule = startAtMs === undefined ? {} : {repetitions: 1, startAtMs};
  const submission = new ActiveSubmission({
    submission: createSubmission('id', 'queue', [createStep({count, ...step})], schedule),
    queue: undefined,
    arrivedAt: 0,
    progress: {finished: {}, failures: [], checkpoints: [], ...progress},
    ...(isInDoubt !== undefined && {isInDoubt}),
  });
  submission.openStartedOccurrence(0, 0, 0);
  const group = submission.getOccurrence(0)?.steps[0];
  if (group === undefined) throw new RangeError('no step');
  return group;
}

function addRun(task: Task): Run {
  const run = new Run(task, 1, worker, 0);
  task.add(run);
  return run;
}

void t.test(
  'the failed runs of a serving task are not kept: there may be any number of them',
  async t => {
    const state = new DispatchState(defaultDispatchTiming);
    const journal = new ProgressJournal(state);
    const ends = new SubmissionEnds(
      state,
      new RunCommands(state, new AdviceTickets(state)),
      journal,
    );
    for (const lasting of [true, false]) {
      const task = createGroup({step: {lasting}}).getTask(0);
      ends.recordFailedRun(task, 1, 0);
      t.equal(task.failedRuns.size, lasting ? 0 : 1);
    }
  },
);

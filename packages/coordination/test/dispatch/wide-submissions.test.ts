import {memoryUsage} from 'node:process';
import t from 'tap';
import {Dispatcher} from '../../src/dispatch/index.js';
import {getTaskName, type Step, type Submission} from '../../src/submissions/index.js';
import {createStep, createSubmission} from './fleet/shared-load.js';
import {createQueue, VirtualFleet} from './fleet/virtual-fleet.js';

const queue = createQueue({name: 'runs', targetLatencyMs: 3_600_000});
const urgentQueue = createQueue({name: 'checks'});

/** Largest number of tasks of a step. */
const maxTasks = 20_000;
/** Part of the heap of 160 MB, in bytes, that an owner may use for what each of the cases submits. */
const maxHeapBytes = 40e6;

const forms: ReadonlyArray<{
  readonly name: string;
  readonly count: number;
  readonly steps: readonly Step[];
  readonly fields?: Partial<Submission>;
}> = [
  {name: 'wide steps', count: 20, steps: [createStep({count: maxTasks})]},
  {
    name: 'many steps that wait for others',
    count: 20,
    steps: [
      createStep({}),
      ...Array.from({length: 9}, () => createStep({count: maxTasks, after: [0]})),
    ],
  },
  {name: 'serving tasks', count: 20, steps: [createStep({count: maxTasks, lasting: true})]},
  {
    name: 'occurrences that are due at once',
    count: 20,
    steps: [createStep({count: 100}), createStep({count: 100, after: [0]})],
    fields: {repetitions: 10_000, startAtMs: 1, intervalMs: 0},
  },
];

for (const {name, count, steps, fields} of forms) {
  for (const isRestored of [false, true]) {
    const how = isRestored ? 'that a new owner reads' : 'that an owner gets';
    void t.test(`an owner is not ended by its memory limit: ${name} ${how}`, async t => {
      const submissions = Array.from({length: count}, (_, index) =>
        createSubmission(getId(index), queue.key, steps, fields),
      );
      const dispatcher = new Dispatcher();
      const before = memoryUsage().heapUsed;
      const restored = submissions.map(submission => ({submission, cancelled: false}));
      dispatcher.reduce(
        {
          kind: 'begin',
          term: 1,
          generation: 1,
          submissions: isRestored ? restored : [],
          roster: [],
          wallMs: 1_000,
        },
        1,
      );
      if (!isRestored) {
        for (const submission of submissions) dispatcher.reduce({kind: 'submitted', submission}, 1);
      }
      t.ok(memoryUsage().heapUsed - before < maxHeapBytes);
      for (const {id} of submissions) t.equal(dispatcher.getStatus(id), 'queued');
    });
  }
}

void t.test('small submissions run beside wide ones, also after a takeover', async t => {
  const fleet = new VirtualFleet({
    seed: 1,
    queues: [queue, urgentQueue],
    workers: [1, 2, 3, 4].map(index => ({
      agent: `w${index}`,
      life: `w${index}-life`,
      cores: 16,
      rack: 'r0',
    })),
    getBehaviour: (_task, {queue: key}) => ({durationMs: key === queue.key ? 900 : 300}),
  });
  const wide = Array.from({length: 3}, (_, index) =>
    createSubmission(getId(index), queue.key, [createStep({count: maxTasks, cores: 2})]),
  );
  for (const submission of wide) fleet.submit(submission);
  const small: Submission[] = [];
  const submitSmall = (number: number) => {
    const submission = createSubmission(getId(100 + number), urgentQueue.key, [
      createStep({cores: 0.5}),
    ]);
    small.push(submission);
    fleet.submit(submission);
  };
  const doneTasks = new Set<string>();
  fleet.onStep = () => {
    for (const worker of fleet.workers.values()) {
      for (const [, task, , how] of worker.ends) if (how === 'done') doneTasks.add(task);
      for (const task of worker.runs.keys()) {
        if (doneTasks.has(task)) t.fail(`${task} runs again after it was done`);
        if (fleet.countRuns(task) > 1) t.fail(`${task} runs twice`);
      }
    }
  };
  for (let number = 0; number < 4; number += 1) {
    submitSmall(number);
    fleet.run(fleet.now + 2_000);
  }
  fleet.startOwner();
  submitSmall(4);
  fleet.run(fleet.now + 10_000);
  for (const {id} of small) t.equal(fleet.dispatcher.getStatus(id), 'completed');
  for (const {id} of wide) t.not(fleet.dispatcher.getStatus(id), 'failed');
  const firstTasks = [0, 1, 2, 3].map(index => getTaskName(getId(0), 0, 0, index));
  t.ok(firstTasks.every(task => doneTasks.has(task)));
});

function getId(number: number): string {
  return number.toString(16).padStart(16, '0');
}

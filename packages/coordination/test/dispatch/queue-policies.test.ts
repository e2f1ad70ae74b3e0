import t from 'tap';
import {ActiveSubmission} from '../../src/dispatch/active-submission.js';
import {getQueuePolicy, type Queue, type QueuePolicy} from '../../src/submissions/index.js';
import {createStep, createSubmission} from './fleet/shared-load.js';
import {createQueue, VirtualFleet} from './fleet/virtual-fleet.js';
import {createWorkers} from './fleet/virtual-worker.js';

const id = '00000000000000a1';
const queue = createQueue({name: 'proofs', priority: 2, maxAttempts: 2});
const hopeless = createStep({count: 1, estimatedMs: 2_000});

interface Case {
  readonly name: string;
  /** Settings that the submission's record has; none in a record of an older version. */
  readonly stored: Queue | undefined;
  /** Queues of the configurations that follow one another before the owner changes. */
  readonly configurations: ReadonlyArray<readonly Queue[]>;
  readonly maxStarts: number;
}

// The next owner knew no limit of a removed queue, and started a hopeless task without end.
const cases: readonly Case[] = [
  {name: 'the queue is removed', stored: queue, configurations: [[]], maxStarts: 2},
  {
    name: 'the limit is lowered and the queue is removed',
    stored: {...queue, maxAttempts: 9},
    configurations: [[queue], []],
    maxStarts: 2,
  },
  {
    name: 'the limit is raised and the queue is removed',
    stored: {...queue, maxAttempts: 1},
    configurations: [[{...queue, maxAttempts: 3}], []],
    maxStarts: 3,
  },
  {
    name: 'the queue is removed, and the record is of an older version',
    stored: undefined,
    configurations: [[]],
    maxStarts: 2,
  },
  {name: 'the queue is kept', stored: queue, configurations: [[queue]], maxStarts: 2},
];

for (const {name, stored, configurations, maxStarts} of cases) {
  void t.test(`a hopeless task is not started without end after a takeover: ${name}`, async t => {
    const fleet = new VirtualFleet({
      seed: 1,
      queues: [stored ?? queue],
      workers: createWorkers(3),
      getBehaviour: () => ({faultyRuns: Number.POSITIVE_INFINITY}),
    });
    const policy = stored && getQueuePolicy(stored);
    fleet.submit(createSubmission(id, queue.key, [hopeless], {...(policy && {policy})}));
    fleet.run(100);
    for (const queues of configurations) fleet.configure(queues);
    fleet.run(400);
    t.notOk(
      fleet.decisions.some(({event}) => event === 'run-ended'),
      'the first run works',
    );
    fleet.startOwner();
    fleet.run(20_000);
    const starts = fleet.decisions.filter(decision => decision.event === 'run-placed');
    t.ok(starts.length <= maxStarts, `${starts.length} starts`);
    t.equal(fleet.progress.get(id)?.final, 'failed');
  });
}

void t.test('a lowered limit that a task has reached already fails the submission', async t => {
  const fleet = new VirtualFleet({
    seed: 1,
    queues: [{...queue, maxAttempts: 9}],
    workers: createWorkers(1),
    getBehaviour: () => ({faultyRuns: Number.POSITIVE_INFINITY}),
  });
  fleet.submit(createSubmission(id, queue.key, [hopeless]));
  fleet.run(6_000);
  const countStarts = () => fleet.decisions.filter(({event}) => event === 'run-placed').length;
  const starts = countStarts();
  t.ok(starts >= 2, 'the task has failed');
  fleet.configure([{...queue, maxAttempts: 1}]);
  fleet.run(15_000);
  t.equal(countStarts(), starts);
  t.equal(fleet.progress.get(id)?.final, 'failed');
});

const advised: QueuePolicy = {...queue, advice: {decisionMs: 50, perWorkerMs: 5}};
const later: QueuePolicy = {...queue, priority: 7, stretchFactor: 9, targetLatencyMs: 5};
const sources: ReadonlyArray<{
  readonly name: string;
  readonly configured?: QueuePolicy;
  readonly changed?: QueuePolicy;
  readonly stored?: QueuePolicy;
  readonly expected: QueuePolicy | undefined;
}> = [
  {
    name: 'the configuration',
    configured: advised,
    changed: later,
    stored: queue,
    expected: advised,
  },
  {name: 'the progress', changed: later, stored: advised, expected: later},
  {name: 'the submission', stored: advised, expected: advised},
  {name: 'nowhere', expected: undefined},
];

for (const {name, configured, changed, stored, expected} of sources) {
  void t.test(`a restored submission has the settings of its queue from ${name}`, async t => {
    const submission = createSubmission(id, queue.key, [hopeless], {
      ...(stored && {policy: getQueuePolicy(stored)}),
    });
    const active = new ActiveSubmission({
      submission,
      queue: configured,
      progress: {
        finished: {},
        failures: [],
        checkpoints: [],
        ...(changed && {policy: getQueuePolicy(changed)}),
      },
      arrivedAt: 0,
    });
    t.same(active.queue && getQueuePolicy(active.queue), expected && getQueuePolicy(expected));
    // The next owner must find the same settings, whatever the configuration has then.
    const next = new ActiveSubmission({
      submission,
      queue: undefined,
      progress: active.toRecord(),
      arrivedAt: 0,
    });
    t.same(next.queue && getQueuePolicy(next.queue), expected && getQueuePolicy(expected));
  });
}

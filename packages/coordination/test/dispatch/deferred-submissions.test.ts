import t, {type Test} from 'tap';
import type {DispatchTiming} from '../../src/dispatch/index.js';
import {getSubmissionBytes, type Submission} from '../../src/submissions/index.js';
import {createStep, createSubmission} from './fleet/shared-load.js';
import {createQueue, VirtualFleet} from './fleet/virtual-fleet.js';

const queue = createQueue({name: 'runs', targetLatencyMs: 3_600_000});

/** Submissions in the order in which they are accepted; each step has one task of 400 ms. */
const large = Array.from({length: 6}, (_, index) => createSequence(`large-${index}`, 10, 50_000));
const small = Array.from({length: 6}, (_, index) => createSequence(`small-${index}`, 1));

/** Memory for two of the large submissions and all small ones. */
const maxLoadedBytes = sumBytes([...large.slice(0, 2), ...small]);

function createSequence(id: string, length: number, specBytes = 0): Submission {
  const steps = Array.from({length}, (_, index) =>
    createStep({cores: 1, after: index === 0 ? [] : [index - 1]}),
  );
  return createSubmission(id, queue.key, steps, {spec: 'x'.repeat(specBytes)});
}

function sumBytes(submissions: readonly Submission[]): number {
  return submissions.reduce((sum, submission) => sum + getSubmissionBytes(submission), 0);
}

const noNeed = {processors: 0, memoryMb: 0, accelerators: 0, slots: 0};

/** A fleet that fails the test when a task runs twice, or again after its end. */
function createFleet(t: Test, timing: Partial<DispatchTiming>): VirtualFleet {
  const fleet = new VirtualFleet({
    seed: 1,
    queues: [queue],
    timing,
    workers: [1, 2].map(index => ({
      agent: `w${index}`,
      life: `w${index}-life`,
      cores: 16,
      rack: 'r0',
    })),
    getBehaviour: () => ({durationMs: 400}),
  });
  const done = new Set<string>();
  fleet.onStep = () => {
    for (const worker of fleet.workers.values()) {
      for (const task of worker.runs.keys()) {
        if (done.has(task)) t.fail(`${task} runs again after it was done`);
        if (fleet.countRuns(task) > 1) t.fail(`${task} runs twice`);
      }
      for (const [, task, , how] of worker.ends) if (how === 'done') done.add(task);
    }
  };
  return fleet;
}

const cases: ReadonlyArray<{
  readonly name: string;
  /** Acts on a fleet to which all submissions have been submitted. */
  readonly act: (fleet: VirtualFleet) => void;
  readonly status?: Readonly<Record<string, string>>;
}> = [
  {name: 'accepted work beyond the memory is loaded later', act: () => {}},
  {
    name: 'a new owner that finds more work than it has memory for',
    act: fleet => {
      fleet.run(1_000);
      fleet.startOwner();
    },
  },
  {
    name: 'a new owner defers work of which tasks run, and learns of their runs and ends',
    act: fleet => {
      fleet.run(1_900);
      // The new owner has a smaller heap.
      fleet.timing = {maxLoadedBytes: sumBytes([...large.slice(0, 1), ...small])};
      fleet.startOwner();
    },
  },
  {
    name: 'an owner is replaced again and again',
    act: fleet => {
      for (let at = 700; at < 5_000; at += 700) {
        fleet.run(at);
        fleet.startOwner();
      }
    },
  },
  {
    name: 'a cancel of a deferred submission takes effect at once',
    act: fleet => {
      fleet.cancelled.add('large-5');
      fleet.post({kind: 'cancelled', id: 'large-5'});
    },
    status: {'large-5': 'cancelled'},
  },
  {
    name: 'a cancel that is stored while there is no owner',
    act: fleet => {
      fleet.run(1_000);
      fleet.cancelled.add('large-5');
      fleet.startOwner();
    },
    status: {'large-5': 'cancelled'},
  },
];

for (const {name, act, status = {}} of cases) {
  void t.test(name, async t => {
    const fleet = createFleet(t, {maxLoadedBytes});
    for (const submission of [...large, ...small]) fleet.submit(submission);
    t.equal(fleet.dispatcher.getStatus('large-5'), 'queued', 'a deferred submission has a state');
    t.equal(fleet.dispatcher.getQueueOf('large-5'), queue.key);
    t.equal(fleet.dispatcher.countPending(queue.key), large.length + small.length);
    const {memory} = fleet.dispatcher.getQueueBacklogs(0) ?? {};
    t.equal(memory?.large.usedBytes, sumBytes(large), 'deferred ones count for admission');
    t.equal(memory?.small.usedBytes, sumBytes(small));
    act(fleet);
    fleet.run(fleet.now + 3_000);
    for (const {id} of small) t.equal(fleet.dispatcher.getStatus(id), 'completed', id);
    fleet.run(fleet.now + 80_000);
    for (const {id} of large) {
      t.equal(fleet.dispatcher.getStatus(id), status[id] ?? 'completed', id);
    }
  });
}

void t.test('a submission that has ended needs little memory while its state is kept', async t => {
  const fleet = createFleet(t, {maxLoadedBytes: Number.POSITIVE_INFINITY});
  const wide = createSubmission('wide', queue.key, [
    ...Array.from({length: 100}, () => createStep({cores: 0.1, estimatedMs: 400})),
  ]);
  fleet.submit(wide);
  const {memory} = fleet.dispatcher.getQueueBacklogs(0) ?? {};
  fleet.run(10_000);
  t.equal(fleet.dispatcher.getStatus('wide'), 'completed');
  const ended = fleet.dispatcher.getQueueBacklogs(fleet.now)?.memory;
  t.ok((ended?.small.usedBytes ?? 0) < (memory?.large.usedBytes ?? 0) / 20);
});

const runLimits = [
  {name: 'of all workers', maxRuns: 50, runs: 50},
  {name: 'of each worker', maxRuns: Number.POSITIVE_INFINITY, runs: 1_000},
];
for (const {name, maxRuns, runs} of runLimits) {
  void t.test(`tasks that need no resources do not exceed the number of runs ${name}`, async t => {
    const fleet = createFleet(t, {maxRuns});
    const step = createStep({count: 2_000, need: noNeed, lasting: true});
    fleet.submit(createSubmission('wide', queue.key, [step]));
    fleet.run(3_000);
    t.equal(
      [...fleet.workers.values()].reduce((sum, worker) => sum + worker.runs.size, 0),
      runs,
    );
  });
}

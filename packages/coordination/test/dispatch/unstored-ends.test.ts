import t from 'tap';
import {ActiveSubmission} from '../../src/dispatch/active-submission.js';
import {createStep, createSubmission} from './fleet/shared-load.js';
import {createQueue, VirtualFleet} from './fleet/virtual-fleet.js';

const queue = createQueue({name: 'proofs', maxAttempts: 1});
const id = '00000000000000a1';
/** Run time in milliseconds after which a faulty run of twice and a half the length fails. */
const durationMs = 400;

const cases: ReadonlyArray<{readonly name: string; readonly faulty: number}> = [
  {name: 'the first of three tasks fails', faulty: 0},
  {name: 'the second of three tasks fails', faulty: 1},
  {name: 'the third of three tasks fails', faulty: 2},
];

for (const {name, faulty} of cases) {
  void t.test(
    `the ends of a failed submission are acknowledged only once its failure is stored: ${name}`,
    async t => {
      const fleet = new VirtualFleet({
        seed: 1,
        queues: [queue],
        workers: ['w1', 'w2', 'w3'].map((agent, index) => ({
          agent,
          life: `${agent}-life`,
          cores: 16,
          rack: `r${index}`,
        })),
        getBehaviour: task =>
          task.endsWith(`.${faulty}`)
            ? {durationMs: durationMs * 2.5, faultyRuns: 1}
            : {durationMs},
      });
      fleet.run(200);
      fleet.submit(createSubmission(id, queue.key, [createStep({count: 3, spreadLimit: 1})]));
      fleet.run(400);
      fleet.isStoreSilent = true;
      fleet.run(2_500);
      const ends = [...fleet.workers.values()].flatMap(worker =>
        worker.ends.map(([, task, , how]) => `${task} ${how}`),
      );
      const expected = [0, 1, 2].map(
        index => `${id}.0.0.${index} ${index === faulty ? 'failed' : 'done'}`,
      );
      t.same(ends.sort(), expected, 'all ends are listed still');
      fleet.isStoreSilent = false;
      fleet.startOwner();
      fleet.run(12_000);
      const starts = fleet.decisions.filter(decision => decision.event === 'run-placed');
      t.equal(starts.length, 3, 'no task starts again');
      t.equal(fleet.progress.get(id)?.final, 'failed');
      const left = [...fleet.workers.values()].flatMap(worker => worker.ends);
      t.same(left, [], 'the ends are acknowledged after the write');
    },
  );
}

void t.test(
  'an occurrence that a previous owner started does not run again when the clock of the next owner is behind',
  async t => {
    const fleet = new VirtualFleet({
      seed: 1,
      queues: [queue],
      workers: [{agent: 'w1', life: 'w1-life', cores: 16, rack: 'r0'}],
    });
    const schedule = {repetitions: 2, startAtMs: 1_000, intervalMs: 20_000};
    const steps = [createStep({count: 2, estimatedMs: durationMs}), createStep({after: [0]})];
    fleet.submit(createSubmission(id, queue.key, steps, schedule));
    fleet.run(1_100);
    fleet.ownerPausedUntil = 2_000;
    fleet.run(1_900);
    fleet.wallClockOffsetMs = -3_000;
    fleet.ownerPausedUntil = 0;
    fleet.startOwner();
    fleet.run(10_000);
    const starts = fleet.decisions.filter(decision => decision.event === 'run-placed');
    for (const task of [0, 1].map(index => `${id}.0.0.${index}`)) {
      t.equal(starts.filter(start => start.task === task).length, 1, task);
    }
    const later = starts.filter(start => start.task === `${id}.0.1.0`).at(-1);
    t.ok(
      Number(later?.at) >= 4_000,
      'the next step waits until it is due on the clock of this owner',
    );
  },
);

const worker = {agent: 'w1', life: 'w1-life', cores: 16, rack: 'r0'};

/** Creates a fleet with one worker and a submission with a far schedule, of which nothing is due. */
function createFleetWithSchedule(): VirtualFleet {
  const fleet = new VirtualFleet({seed: 1, queues: [queue], workers: [worker]});
  const schedule = {repetitions: 10_000, startAtMs: 100_000_000, intervalMs: 20_000};
  fleet.submit(createSubmission(id, queue.key, [createStep({count: 20})], schedule));
  fleet.run(500);
  return fleet;
}

const foreignNames = [
  '1e9.0.0',
  'Infinity.0.0',
  '0x7f.0.0',
  '.0.0',
  '1.5.0.0',
  '7.9.0',
  '7.0.99',
  '10000.0.0',
  '-1.0.0',
  '',
];
for (const name of foreignNames) {
  void t.test(`an end of a task that does not exist opens no occurrence: '${name}'`, async t => {
    const fleet = createFleetWithSchedule();
    const before = fleet.dispatcher.countPending(queue.key);
    fleet.post({
      kind: 'message',
      agent: 'w1',
      message: {
        kind: 'report',
        life: 'w1-life',
        term: 10,
        clockMs: fleet.now,
        running: [],
        ends: [[1, `${id}.${name}`, 1, 'done', '']],
      },
    });
    fleet.run(2_000);
    t.equal(fleet.dispatcher.countPending(queue.key), before);
    t.equal(fleet.dispatcher.getStatus(id), 'queued', 'no task has run');
  });
}

const clockCases = [
  {name: 'is set back afterwards', firstMs: 29_500, takeoverMs: 26_000, laterMs: 0, dueMs: 30_000},
  {name: 'is set ahead afterwards', firstMs: 0, takeoverMs: -30_000, laterMs: 0, dueMs: 1_000},
];
for (const {name, firstMs, takeoverMs, laterMs, dueMs} of clockCases) {
  void t.test(
    `a started occurrence goes on when it is due on the clock, which ${name}`,
    async t => {
      const fleet = new VirtualFleet({
        seed: 1,
        queues: [queue],
        workers: [worker],
        getBehaviour: () => ({durationMs: 2_000}),
      });
      fleet.wallClockOffsetMs = firstMs;
      const steps = [createStep({count: 2, estimatedMs: durationMs}), createStep({after: [0]})];
      const schedule = {repetitions: 2, startAtMs: dueMs, intervalMs: 100_000};
      fleet.submit(createSubmission(id, queue.key, steps, schedule));
      fleet.run(1_100);
      fleet.ownerPausedUntil = 2_000;
      fleet.run(1_900);
      fleet.wallClockOffsetMs = takeoverMs;
      fleet.ownerPausedUntil = 0;
      fleet.startOwner();
      fleet.run(2_500);
      fleet.wallClockOffsetMs = laterMs;
      const isDueSoon = dueMs < 12_000;
      fleet.run(12_000);
      const next = `${id}.0.1.0`;
      const start = fleet.decisions.find(
        entry => entry.event === 'run-placed' && entry.task === next,
      );
      if (isDueSoon) t.ok(start && start.at >= 2_500 && start.at < 6_000, `at ${start?.at}`);
      else t.equal(start, undefined, 'it is not due yet');
    },
  );
}

void t.test(
  'ends beyond the length of a list are not taken for runs that never started',
  async t => {
    const maxListed = 3;
    const fleet = new VirtualFleet({
      seed: 1,
      queues: [queue],
      workers: [worker],
      getBehaviour: () => ({durationMs}),
    });
    fleet.maxListedEnds = maxListed;
    fleet.run(500);
    fleet.submit(
      createSubmission(id, queue.key, [createStep({count: 6, estimatedMs: durationMs})]),
    );
    fleet.run(700);
    fleet.isStoreSilent = true;
    fleet.run(2_500);
    fleet.isStoreSilent = false;
    fleet.startOwner();
    fleet.run(8_000);
    t.equal(fleet.decisions.filter(entry => entry.event === 'run-placed').length, 6);
    t.equal(fleet.progress.get(id)?.final, 'completed');
  },
);

void t.test('a worker gets no runs while a write in flight removes it from the roster', async t => {
  const blocker = '00000000000000b2';
  const fleet = new VirtualFleet({
    seed: 1,
    queues: [queue],
    workers: ['w1', 'w2'].map(agent => ({...worker, agent, life: `${agent}-life`, cores: 2})),
    getBehaviour: task => ({durationMs: task.startsWith(blocker) ? 6_000 : 60_000}),
  });
  fleet.run(1_000);
  fleet.silences.set('w1', 'both');
  fleet.post({kind: 'agent-down', agent: 'w1'});
  fleet.run(4_000);
  const short = createStep({cores: 1, estimatedMs: 6_000});
  fleet.submit(createSubmission(blocker, queue.key, [short]));
  fleet.run(6_500);
  fleet.isStoreSilent = true;
  fleet.run(9_000);
  fleet.silences.delete('w1');
  const returned = fleet.workers.get('w1');
  if (returned === undefined) throw new RangeError('no worker w1');
  fleet.connect(returned);
  fleet.submit(createSubmission(id, queue.key, [createStep({cores: 2, estimatedMs: 60_000})]));
  fleet.run(9_600);
  const placed = fleet.decisions.filter(
    entry => entry.event === 'run-placed' && entry.submission === id && entry.worker === 'w1-life',
  );
  t.same(placed, []);
});

void t.test('failures and checkpoints of an occurrence that is not open are kept', async t => {
  const schedule = {repetitions: 2, startAtMs: 1_000, intervalMs: 20_000};
  const submission = new ActiveSubmission({
    queue,
    arrivedAt: 0,
    submission: createSubmission(id, queue.key, [createStep({count: 2})], schedule),
    progress: {
      finished: {},
      failures: [[1, 0, 0, [1]]],
      checkpoints: [[1, 0, 1, 'c1']],
      crashes: [[1, 0, 1, ['life'], []]],
    },
  });
  submission.openDueOccurrences(1_500, 1_500);
  t.match(submission.toRecord(), {
    failures: [[1, 0, 0, [1]]],
    checkpoints: [[1, 0, 1, 'c1']],
    crashes: [[1, 0, 1, ['life'], []]],
  });
});

void t.test('a failed submission is not shown as completed while it is removed', async t => {
  const fleet = new VirtualFleet({
    seed: 1,
    queues: [queue],
    workers: [worker],
    getBehaviour: () => ({durationMs: 300, faultyRuns: 1}),
  });
  fleet.submit(createSubmission(id, queue.key, [createStep({count: 1})]));
  fleet.run(5_000);
  const stored = fleet.submissions.get(id);
  let isListed = false;
  fleet.onStep = () => {
    if (isListed || stored === undefined || fleet.dispatcher.getStatus(id) !== undefined) return;
    isListed = true;
    fleet.post({kind: 'submitted', submission: stored});
  };
  fleet.run(320_000);
  t.ok(isListed, 'the watch lists its record once more');
  t.equal(fleet.dispatcher.getStatus(id), undefined);
});

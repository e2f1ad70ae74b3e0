import t from 'tap';
import type {Submission} from '../../src/submissions/index.js';
import {createStep, createSubmission} from './fleet/shared-load.js';
import {createQueue, VirtualFleet, type VirtualFleetOptions} from './fleet/virtual-fleet.js';

const queue = createQueue({name: 'proofs'});
const id = '00000000000000a1';

function createFleet(options: Partial<VirtualFleetOptions> = {}): VirtualFleet {
  return new VirtualFleet({
    seed: 1,
    queues: [queue],
    workers: ['w1', 'w2', 'w3'].map((agent, index) => ({
      agent,
      life: `${agent}-life`,
      cores: 16,
      rack: `r${index}`,
    })),
    ...options,
  });
}

/** Fails the test when, after any step of the simulation, a task runs on two workers. */
function watchRuns(t: {fail(message: string): unknown}, fleet: VirtualFleet): void {
  fleet.onStep = () => {
    const seen = new Set<string>();
    for (const worker of fleet.workers.values()) {
      for (const task of worker.runs.keys()) {
        if (seen.has(task)) t.fail(`${task} runs twice at ${fleet.now}`);
        seen.add(task);
      }
    }
  };
}

function countStarts(fleet: VirtualFleet, task: string): number {
  return fleet.decisions.filter(entry => entry.event === 'run-placed' && entry.task === task)
    .length;
}

void t.test('a step starts only after all tasks of its predecessors are finished', async t => {
  const fleet = createFleet();
  watchRuns(t, fleet);
  const steps = [createStep({count: 5}), createStep({count: 3, after: [0]})];
  fleet.submit(createSubmission(id, queue.key, steps));
  fleet.run(5_000);
  const ended = fleet.decisions.filter(entry => entry.event === 'run-ended');
  const firstOfLater = fleet.decisions.find(
    entry => entry.event === 'run-placed' && entry.task?.split('.')[2] === '1',
  );
  t.equal(ended.filter(entry => entry.at <= (firstOfLater?.at ?? 0)).length, 5);
  t.equal(fleet.progress.get(id)?.final, 'completed');
  t.equal(fleet.dispatcher.getStatus(id), 'completed');
});

void t.test('a submission appears completed only after its completion is stored', async t => {
  const fleet = createFleet();
  fleet.submit(createSubmission(id, queue.key, [createStep({count: 2})]));
  let wasShownEarly = false;
  fleet.onStep = () => {
    const isStored = fleet.progress.get(id)?.final === 'completed';
    if (fleet.dispatcher.getStatus(id) === 'completed' && !isStored) wasShownEarly = true;
  };
  fleet.run(3_000);
  t.notOk(wasShownEarly);
  t.equal(fleet.dispatcher.getStatus(id), 'completed');
});

void t.test(
  'a finished submission is stored without spec and steps, and a new owner knows it',
  async t => {
    const fleet = createFleet();
    fleet.submit(createSubmission(id, queue.key, [createStep({count: 2})]));
    fleet.run(3_000);
    t.match(fleet.submissions.get(id), {id, queue: queue.key, spec: '', steps: []});
    fleet.startOwner();
    fleet.run(6_000);
    t.equal(fleet.dispatcher.getStatus(id), 'completed');
    t.equal(fleet.dispatcher.getQueueOf(id), queue.key);
    fleet.submit(createSubmission(id, queue.key, [createStep({count: 2})]));
    fleet.run(9_000);
    t.equal(countStarts(fleet, `${id}.0.0.0`), 1, 'sent again, it does not run again');
  },
);

const takeoverTimesMs = [150, 400, 900, 1_400, 2_300];
for (const at of takeoverTimesMs) {
  void t.test(`a new owner at ${at} ms does not run finished tasks again`, async t => {
    const fleet = createFleet();
    watchRuns(t, fleet);
    const steps = [createStep({count: 6}), createStep({count: 4, after: [0]})];
    fleet.submit(createSubmission(id, queue.key, steps));
    fleet.run(at);
    fleet.startOwner();
    fleet.run(at + 8_000);
    t.equal(fleet.progress.get(id)?.final, 'completed');
    const done = fleet.decisions.filter(entry => entry.event === 'run-ended');
    const tasks = new Set(done.map(entry => entry.task));
    t.equal(tasks.size, 10);
    const startsAfterEnd = fleet.decisions.filter(
      entry =>
        entry.event === 'run-placed' &&
        done.some(end => end.task === entry.task && end.reason === 'done' && end.at < entry.at),
    );
    t.same(startsAfterEnd, []);
  });
}

void t.test('a task that has used all its attempts fails its submission', async t => {
  const fleet = createFleet({getBehaviour: () => ({faultyRuns: 9})});
  fleet.submit(createSubmission(id, queue.key, [createStep({count: 2})]));
  fleet.run(6_000);
  t.equal(fleet.progress.get(id)?.final, 'failed');
  const maxStarts = Math.max(...[0, 1].map(index => countStarts(fleet, `${id}.0.0.${index}`)));
  t.ok(maxStarts <= queue.maxAttempts, `${maxStarts} starts`);
});

void t.test('a failed task runs again on another worker', async t => {
  const fleet = createFleet({getBehaviour: () => ({faultyRuns: 1})});
  fleet.submit(createSubmission(id, queue.key, [createStep({count: 1})]));
  fleet.run(6_000);
  t.equal(fleet.progress.get(id)?.final, 'completed');
  const placements = fleet.decisions.filter(entry => entry.event === 'run-placed');
  t.equal(new Set(placements.map(entry => entry.worker)).size, 2);
});

void t.test('cancelling a submission stops its runs and starts no more', async t => {
  const fleet = createFleet();
  fleet.submit(createSubmission(id, queue.key, [createStep({count: 60, estimatedMs: 3_000})]));
  fleet.run(1_000);
  fleet.cancelled.add(id);
  fleet.post({kind: 'cancelled', id});
  const before = fleet.decisions.filter(entry => entry.event === 'run-placed').length;
  fleet.run(3_000);
  t.equal(fleet.decisions.filter(entry => entry.event === 'run-placed').length, before);
  t.equal(
    [...fleet.workers.values()].reduce((sum, worker) => sum + worker.runs.size, 0),
    0,
  );
  t.equal(fleet.dispatcher.getStatus(id), 'cancelled');
});

void t.test(
  'tasks of an unreachable worker start elsewhere only after its lease has expired',
  async t => {
    const fleet = createFleet();
    fleet.submit(createSubmission(id, queue.key, [createStep({count: 1, estimatedMs: 20_000})]));
    fleet.run(1_000);
    const [worker] = [...fleet.workers.values()].filter(candidate => candidate.runs.size > 0);
    if (!worker) throw new Error('the task does not run');
    const {agent} = worker.options;
    fleet.post({kind: 'agent-down', agent});
    fleet.workers.delete(agent);
    // The lease of 6 s was granted or renewed after the start of the test.
    fleet.run(5_900);
    t.equal(countStarts(fleet, `${id}.0.0.0`), 1, 'the lease has not expired');
    fleet.run(9_000);
    t.equal(countStarts(fleet, `${id}.0.0.0`), 2);
  },
);

void t.test(
  'tasks of a worker that is gone restart immediately, with a higher run number',
  async t => {
    const fleet = createFleet();
    fleet.submit(createSubmission(id, queue.key, [createStep({count: 1, estimatedMs: 20_000})]));
    fleet.run(1_000);
    const [worker] = [...fleet.workers.values()].filter(candidate => candidate.runs.size > 0);
    if (!worker) throw new Error('the task does not run');
    worker.runs.clear();
    fleet.post({
      kind: 'message',
      agent: worker.options.agent,
      message: {kind: 'worker-gone', life: worker.options.life, reason: 'refused-connection'},
    });
    fleet.run(1_500);
    const runs = fleet.decisions.filter(entry => entry.event === 'run-placed');
    t.same(
      runs.map(entry => entry.run),
      [1, 2],
    );
  },
);

void t.test('a worker runs at most spreadLimit tasks of a step', async t => {
  const fleet = createFleet();
  const steps = [createStep({count: 9, estimatedMs: 4_000, spreadLimit: 2})];
  fleet.submit(createSubmission(id, queue.key, steps));
  fleet.run(2_000);
  t.same(
    [...fleet.workers.values()].map(worker => worker.runs.size),
    [2, 2, 2],
  );
});

void t.test('the members of a gang start together with one run number, or not at all', async t => {
  const fleet = createFleet();
  const gang = createStep({count: 4, cores: 9, gang: true});
  fleet.submit(createSubmission(id, queue.key, [gang]));
  fleet.run(2_000);
  t.equal(fleet.decisions.filter(entry => entry.event === 'run-placed').length, 0);
  const fitting = createStep({count: 3, cores: 9, gang: true});
  fleet.submit(createSubmission('00000000000000a2', queue.key, [fitting]));
  fleet.run(5_000);
  const runs = fleet.decisions.filter(entry => entry.event === 'run-placed');
  t.same(
    runs.map(entry => entry.run),
    [1, 1, 1],
  );
  t.equal(fleet.dispatcher.getStatus('00000000000000a2'), 'completed');
});

void t.test('an occurrence starts when it is due, not earlier', async t => {
  const fleet = createFleet();
  const schedule: Partial<Submission> = {repetitions: 2, startAtMs: 1_000, intervalMs: 2_000};
  fleet.submit(
    createSubmission(id, queue.key, [createStep({count: 1, estimatedMs: 500})], schedule),
  );
  fleet.run(6_000);
  const starts = fleet.decisions
    .filter(entry => entry.event === 'run-placed')
    .map(entry => entry.at);
  t.ok(starts[0]! >= 1_000 && starts[0]! < 1_250, `first at ${starts[0]}`);
  t.ok(starts[1]! >= 3_000 && starts[1]! < 3_250, `second at ${starts[1]}`);
  t.equal(fleet.dispatcher.getStatus(id), 'completed');
});

void t.test('tasks that stall on a hung worker are moved to other workers', async t => {
  const fleet = createFleet();
  const worker = fleet.workers.get('w1');
  if (worker) worker.isHung = true;
  fleet.submit(createSubmission(id, queue.key, [createStep({count: 12, cores: 3})]));
  fleet.run(8_000);
  t.equal(fleet.dispatcher.getStatus(id), 'completed');
});

void t.test(
  'a worker that fails every run is suspended before any task has used all its attempts',
  async t => {
    const fleet = createFleet();
    const worker = fleet.workers.get('w1');
    if (worker) worker.isFailing = true;
    for (let index = 0; index < 20; index += 1) {
      const name = (0xb00 + index).toString(16).padStart(16, '0');
      fleet.submit(createSubmission(name, queue.key, [createStep({count: 4, cores: 0.5})]));
      fleet.run(fleet.now + 500);
    }
    fleet.run(fleet.now + 5_000);
    const failed = [...fleet.progress.values()].filter(record => record.final === 'failed');
    t.equal(failed.length, 0);
  },
);

void t.test('serving tasks leave the reserve on each worker to urgent, finite work', async t => {
  const fleet = createFleet();
  const serving = createStep({count: 24, cores: 2, lasting: true});
  fleet.submit(createSubmission('00000000000000b1', queue.key, [serving]));
  fleet.run(2_000);
  fleet.submit(createSubmission(id, queue.key, [createStep({count: 6, cores: 0.25})]));
  fleet.run(4_000);
  t.equal(fleet.dispatcher.getStatus(id), 'completed');
});

void t.test('an unanswered start is refused by the next incarnation of its worker', async t => {
  const fleet = createFleet();
  for (const worker of fleet.workers.values()) worker.isUnresponsive = true;
  fleet.submit(createSubmission(id, queue.key, [createStep({count: 1, estimatedMs: 5_000})]));
  fleet.run(500);
  const [late] = fleet.undelivered;
  if (late === undefined) throw new Error('no start command was sent');
  for (const worker of fleet.workers.values()) worker.isUnresponsive = false;
  const next = fleet.replace(late.agent, 'next-life');
  fleet.run(1_500);
  // If the new incarnation executed the delayed command, the task would run twice.
  const reason = next.start(late.order, fleet.now, late.token);
  t.equal(reason, 'fenced', 'the late start command is refused');
  t.equal(fleet.countRuns(`${id}.0.0.0`), 1, 'the task runs once');
});

void t.test('a failure that a worker lists again to a new owner counts once', async t => {
  const fleet = createFleet({getBehaviour: () => ({faultyRuns: 1})});
  for (const worker of fleet.workers.values()) worker.hasLostAcknowledgements = true;
  const steps = [createStep({count: 1, estimatedMs: 3_000})];
  fleet.submit(createSubmission(id, queue.key, steps));
  fleet.run(2_000);
  t.equal(fleet.progress.get(id)?.failures.length, 1, 'the failure is stored');
  // Counted twice, the failure would use up both attempts and fail the submission.
  fleet.startOwner();
  fleet.run(9_000);
  t.equal(fleet.progress.get(id)?.final, 'completed');
});

void t.test('a cancel that arrives earlier than its submission still cancels it', async t => {
  const fleet = createFleet();
  fleet.post({kind: 'cancelled', id});
  fleet.run(500);
  fleet.submit(createSubmission(id, queue.key, [createStep({count: 2})]));
  fleet.run(3_000);
  t.equal(countStarts(fleet, `${id}.0.0.0`), 0, 'nothing is started');
  t.equal(fleet.dispatcher.getStatus(id), 'cancelled');
});

void t.test(
  'a start that was stopped is not executed by the next incarnation of its worker',
  async t => {
    const fleet = createFleet();
    watchRuns(t, fleet);
    for (const worker of fleet.workers.values()) worker.isUnresponsive = true;
    fleet.submit(createSubmission(id, queue.key, [createStep({count: 1, estimatedMs: 5_000})]));
    fleet.run(500);
    const [late] = fleet.undelivered;
    if (late === undefined) throw new Error('no start command was sent');
    for (const worker of fleet.workers.values()) worker.isUnresponsive = false;
    // The start has no answer, so the run is stopped, which the worker confirms; the task is started again.
    fleet.run(6_000);
    t.equal(fleet.countRuns(`${id}.0.0.0`), 1, 'the task runs');
    const next = fleet.replace(late.agent, 'next-life');
    fleet.run(fleet.now + 1_000);
    t.equal(next.start(late.order, fleet.now, late.token), 'fenced');
  },
);

void t.test(
  'a run that started on the next incarnation of a worker is not started elsewhere',
  async t => {
    const fleet = createFleet();
    watchRuns(t, fleet);
    for (const worker of fleet.workers.values()) worker.isUnresponsive = true;
    fleet.submit(createSubmission(id, queue.key, [createStep({count: 1, estimatedMs: 3_000})]));
    fleet.run(100);
    const [sent] = fleet.undelivered;
    if (sent === undefined) throw new Error('no start command was sent');
    const {agent, order, token} = sent;
    const outcome = {kind: 'accepted'} as const;
    // The worker keeps its id, so its next incarnation executes commands meant for the previous one.
    const {term} = order;
    fleet.post({
      kind: 'message',
      agent,
      message: {kind: 'result', order: order.order, term, outcome},
    });
    for (const worker of fleet.workers.values()) worker.isUnresponsive = false;
    fleet.replace(agent, 'next-life', next => next.start(order, fleet.now, token));
    fleet.run(5_000);
    t.equal(countStarts(fleet, `${id}.0.0.0`), 1, 'the run continues');
    t.equal(fleet.progress.get(id)?.final, 'completed');
  },
);

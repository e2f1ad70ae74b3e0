import t from 'tap';
import type {Queue, Step, Submission} from '../../../src/submissions/index.js';
import {getSubmissionBytes} from '../../../src/submissions/index.js';
import {CrashingFleet, queue, type CrashingFleetOptions} from '../fleet/crashing-fleet.js';
import {createStep, createSubmission} from '../fleet/shared-load.js';
import {createQueue} from '../fleet/virtual-fleet.js';

const id = '00000000000000d1';
const otherId = '00000000000000a1';
const advisedQueue = createQueue({name: 'advised', advice: {decisionMs: 50, perWorkerMs: 1}});
const lateQueue = createQueue({name: 'late', priority: 2, targetLatencyMs: 600_000});

function create(step: Partial<Step> & {cores?: number} = {}, from: Queue = queue): Submission {
  return createSubmission(id, from.key, [createStep({estimatedMs: 60_000, ...step})]);
}

function createOther(step: Partial<Step> & {cores?: number} = {}, spec = 'spec'): Submission {
  const steps = [createStep({estimatedMs: 60_000, ...step})];
  return createSubmission(otherId, queue.key, steps, {spec});
}

/** Lets reports of all workers arrive, but no commands. */
function silence(fleet: CrashingFleet): void {
  for (const agent of fleet.workers.keys()) fleet.silences.set(agent, 'to-agent');
}

/** Runs until tasks have been placed a number of times; the latest start commands are under way then. */
function runUntilPlaced(fleet: CrashingFleet, count: number): void {
  const countPlaced = () => fleet.decisions.filter(({event}) => event === 'run-placed').length;
  while (countPlaced() < count) fleet.run(fleet.now + 25);
}

function crashAll(fleet: CrashingFleet): void {
  for (const agent of [...fleet.workers.keys()]) fleet.crash(agent);
}

/** Replaces what the workers answer to start commands. */
function refuseStarts(fleet: CrashingFleet, reason: 'invalid' | 'busy' | 'late'): void {
  for (const worker of fleet.workers.values()) worker.start = () => reason;
}

const large = createSubmission(id, queue.key, [createStep({})], {spec: 'x'.repeat(50_000)});

const cases: ReadonlyArray<{
  readonly name: string;
  readonly options?: CrashingFleetOptions;
  /** Submits the submission and plays what keeps it waiting. */
  readonly act: (fleet: CrashingFleet) => void;
  /** Fields of the latest line about it 20 s later. */
  readonly fields: object;
}> = [
  {
    name: 'the owner has no memory for it beside serving tasks',
    options: {timing: {maxLoadedBytes: getSubmissionBytes(large)}},
    act: fleet => {
      fleet.submit(createOther({lasting: true}));
      fleet.submit(large);
    },
    fields: {reason: 'not-loaded', bytes: getSubmissionBytes(large)},
  },
  {
    name: 'a previous owner may have started it on a silent worker',
    options: {workerCount: 2, timing: {maxLeaseMs: 60_000, leaseMs: 60_000}},
    act: fleet => {
      fleet.submit(create());
      fleet.run(1_000);
      for (const agent of fleet.workers.keys()) fleet.silences.set(agent, 'both');
      fleet.startOwner();
    },
    fields: {reason: 'in-doubt', holds: 'in-doubt:1', task: `${id}.0.0.0`},
  },
  {
    name: 'its crash is not stored',
    options: {workerCount: 2},
    act: fleet => {
      fleet.submit(create());
      while (fleet.countRuns(`${id}.0.0.0`) === 0) fleet.run(fleet.now + 25);
      fleet.isStoreSilent = true;
      crashAll(fleet);
    },
    fields: {reason: 'crashes-not-stored', holds: 'crashes-not-stored:1'},
  },
  {
    name: 'its start was refused shortly before',
    act: fleet => {
      fleet.submit(create());
      refuseStarts(fleet, 'invalid');
    },
    fields: {reason: 'delayed', holds: 'delayed:1'},
  },
  {
    name: 'its starts are refused at once, time and again',
    options: {workerCount: 1},
    act: fleet => {
      refuseStarts(fleet, 'late');
      fleet.submit(create());
    },
    fields: {reason: 'run-starting', holds: 'has-run:1'},
  },
  {
    name: 'its start has no answer',
    options: {workerCount: 1},
    act: fleet => {
      fleet.run(500);
      silence(fleet);
      fleet.submit(create());
    },
    fields: {reason: 'run-unresolved', holds: 'has-run:1'},
  },
  {
    name: 'its run does not end',
    options: {workers: [{agent: 'w0', life: 'w0@1', cores: 16, rack: 'r0', isHung: true}]},
    act: fleet => {
      for (const worker of fleet.workers.values()) worker.stop = () => true;
      fleet.submit(create());
    },
    fields: {reason: 'run-stopping', holds: 'has-run:1'},
  },
  {
    name: 'another task of its gang has a run without an answer',
    options: {workerCount: 2},
    act: fleet => {
      fleet.run(500);
      fleet.silences.set('w1', 'to-agent');
      fleet.submit(create({count: 2, cores: 10, gang: true}));
      fleet.run(1_000);
      fleet.crash('w0');
    },
    fields: {reason: 'gang-incomplete', holds: 'has-run:1', tasks: 2},
  },
  {
    name: 'its gang does not fit',
    options: {workerCount: 2},
    act: fleet => fleet.submit(create({count: 3, cores: 10, gang: true})),
    fields: {reason: 'no-room', workers: 2, refusals: 'processors:2', task: `${id}.0.0.2`},
  },
  {
    name: 'another task of its step is on trial without an answer',
    options: {workerCount: 1},
    act: fleet => {
      fleet.submit(create({count: 2}));
      while (fleet.countRuns(`${id}.0.0.1`) === 0) fleet.run(fleet.now + 25);
      crashAll(fleet);
      runUntilPlaced(fleet, 3);
      silence(fleet);
    },
    fields: {reason: 'other-task-on-trial', holds: 'has-run:1', tasks: 2},
  },
  {
    name: 'no worker is known',
    options: {workers: []},
    act: fleet => fleet.submit(create()),
    fields: {reason: 'no-worker', workers: 0},
  },
  {
    name: 'a worker is draining, one unreachable and one disconnected',
    options: {workerCount: 3},
    act: fleet => {
      fleet.run(500);
      const worker = {
        ...{life: 'w0-life', id: 'w0-life', service: 'service', dataCentre: 'dc', rack: 'r0'},
        ...{labels: [], state: 'draining' as const, remainingMs: 60_000},
        capacity: {processors: 16, memoryMb: 64_000, accelerators: 0, slots: 0},
      };
      fleet.post({kind: 'message', agent: 'w0', message: {kind: 'worker', worker}});
      for (const agent of ['w1', 'w2']) fleet.silences.set(agent, 'both');
      fleet.post({kind: 'agent-down', agent: 'w2'});
      fleet.run(6_000);
      fleet.submit(create());
    },
    fields: {reason: 'no-open-worker', workers: 2, refusals: 'draining:1 unreachable:1'},
  },
  {
    name: 'the roster with its workers is not stored',
    options: {workerCount: 2},
    act: fleet => {
      fleet.isStoreSilent = true;
      fleet.submit(create());
    },
    fields: {reason: 'no-open-worker', refusals: 'not-in-roster:2'},
  },
  {
    name: 'all data centres are evacuated',
    act: fleet => {
      fleet.post({kind: 'evacuations', set: {revision: 1_000, dataCentres: ['dc']}});
      fleet.submit(create());
    },
    fields: {reason: 'no-open-worker', refusals: 'evacuated:6'},
  },
  {
    name: 'all workers refuse starts',
    options: {workerCount: 1},
    act: fleet => {
      refuseStarts(fleet, 'busy');
      fleet.submit(create());
    },
    fields: {reason: 'no-open-worker', refusals: 'blocked:1'},
  },
  {
    name: 'its advisor allows no worker',
    act: fleet => {
      fleet.advisor.isAllowed = () => false;
      fleet.submit(create({}, advisedQueue));
    },
    fields: {reason: 'no-ticket', workers: 6, refusals: 'no-ticket:6'},
  },
  {
    name: 'the only worker has a task on trial',
    options: {
      workerCount: 1,
      getCrashDelayMs: task => (task.startsWith(otherId) ? 10 : undefined),
    },
    act: fleet => {
      fleet.submit(createOther({lasting: true}));
      runUntilPlaced(fleet, 4);
      silence(fleet);
      fleet.submit(create({}, lateQueue));
    },
    fields: {reason: 'isolation', workers: 1, refusals: 'isolation:1'},
  },
  {
    name: 'other tasks have all processors',
    act: fleet => {
      fleet.submit(createOther({count: 6, cores: 16}));
      fleet.run(500);
      fleet.submit(create());
    },
    fields: {reason: 'no-room', workers: 6, refusals: 'processors:6', cores: 1},
  },
  {
    name: 'no worker has its label',
    act: fleet => fleet.submit(create({label: 'missing'})),
    fields: {reason: 'no-room', refusals: 'label:6'},
  },
  {
    name: 'no more runs are allowed',
    options: {timing: {maxRuns: 1}},
    act: fleet => {
      fleet.submit(createOther());
      fleet.run(500);
      fleet.submit(create());
    },
    fields: {reason: 'run-limit', refusals: ''},
  },
  {
    name: 'the start budget is used up',
    options: {timing: {startBytesPerSecond: 100}},
    act: fleet => {
      fleet.submit(createOther({}, 'x'.repeat(5_000)));
      fleet.run(500);
      fleet.submit(create());
    },
    fields: {reason: 'start-budget', refusals: ''},
  },
];

for (const {name, options, act, fields} of cases) {
  void t.test(`the log tells that a submission waits because ${name}`, async t => {
    const queues = [queue, advisedQueue, lateQueue];
    const fleet = new CrashingFleet({queues, ...options});
    act(fleet);
    fleet.run(fleet.now + 20_000);
    const lines = fleet.decisions.filter(
      ({event, submission}) => event === 'task-waiting' && submission === id,
    );
    t.match(lines.at(-1), fields);
    t.ok(Number(lines.at(-1)?.['waitMs']) >= 3_000);
  });
}

const quiet: ReadonlyArray<{
  readonly name: string;
  readonly options?: CrashingFleetOptions;
  readonly act: (fleet: CrashingFleet) => void;
}> = [
  {name: 'is finished', act: fleet => fleet.submit(create({estimatedMs: 500}))},
  {name: 'runs', act: fleet => fleet.submit(create())},
  {
    name: 'has failed',
    options: {getBehaviour: () => ({faultyRuns: 9})},
    act: fleet => fleet.submit(create({estimatedMs: 500})),
  },
  {
    name: 'is cancelled while it waits',
    options: {workers: []},
    act: fleet => {
      fleet.submit(create());
      fleet.run(2_000);
      fleet.post({kind: 'cancelled', id});
    },
  },
  {
    name: 'is not due',
    options: {workers: []},
    act: fleet => {
      const timed = {startAtMs: 60_000, repetitions: 2, intervalMs: 1_000};
      fleet.submit(createSubmission(id, queue.key, [createStep({})], timed));
    },
  },
  {
    name: 'has a step that waits for one that runs',
    act: fleet => {
      const steps = [createStep({estimatedMs: 60_000}), createStep({after: [0], label: 'missing'})];
      fleet.submit(createSubmission(id, queue.key, steps));
    },
  },
  {
    name: 'waits for less than 3 s',
    act: fleet => {
      fleet.submit(createOther({count: 6, cores: 16, estimatedMs: 2_000}));
      fleet.run(500);
      fleet.submit(create());
    },
  },
];

for (const {name, options, act} of quiet) {
  void t.test(`nothing is logged of a submission that ${name}`, async t => {
    const fleet = new CrashingFleet(options);
    act(fleet);
    fleet.run(20_000);
    const lines = fleet.decisions.filter(({event}) => event === 'task-waiting');
    t.same(lines, []);
  });
}

void t.test('the lines about 1,000 waiting submissions are bounded', async t => {
  const fleet = new CrashingFleet({workers: []});
  const step = createStep({count: 3});
  for (let index = 0; index < 1_000; index += 1) {
    fleet.submit(createSubmission(index.toString(16).padStart(16, '0'), queue.key, [step]));
  }
  fleet.run(20_000);
  const lines = fleet.decisions.filter(({event}) => event === 'task-waiting');
  const perSecond = new Map<number, number>();
  const latest = new Map<string | undefined, number>();
  for (const {at, submission} of lines) {
    const second = Math.floor(at / 1_000);
    perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
    t.ok(at - (latest.get(submission) ?? Number.NEGATIVE_INFINITY) >= 5_000);
    latest.set(submission, at);
  }
  t.equal(Math.max(...perSecond.values()), 5);
  t.equal(
    latest.size,
    lines.length,
    'each submission gets its first line before others get a second',
  );
  t.match(lines.at(-1), {stalled: 1_000, oldestMs: Number});
});

void t.test('the pauses between the lines about one submission grow up to 60 s', async t => {
  const fleet = new CrashingFleet({workers: []});
  fleet.submit(create());
  fleet.run(300_000);
  const times = fleet.decisions.filter(({event}) => event === 'task-waiting').map(({at}) => at);
  const pauses = times.slice(1).map((at, index) => at - (times[index] ?? 0));
  t.same(pauses, [5_000, 10_000, 20_000, 40_000, 60_000, 60_000, 60_000]);
});

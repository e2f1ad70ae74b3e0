import t from 'tap';
import type {Step} from '../../../src/submissions/index.js';
import {EvacuationFleet, plainQueue} from '../fleet/evacuation-fleet.js';
import {createStep, createSubmission} from '../fleet/shared-load.js';
import {createQueue} from '../fleet/virtual-fleet.js';

const id = '00000000000000a1';
/** Times in milliseconds at which the data centre is evacuated and the simulation ends. */
const evacuatedAt = 3_000;
const endsAt = 20_000;
/** Time in milliseconds in which an evacuated data centre is to become empty. */
const evacuationMs = 5_000;
/** Longest time in milliseconds until a worker reports what has happened on it. */
const reportMs = 525;

function createFleet(step: Partial<Step> & {readonly cores?: number}, workers = 6) {
  const fleet = new EvacuationFleet(workers, {timing: {evacuationMs}});
  fleet.submit(createSubmission(id, plainQueue.key, [createStep(step)]));
  fleet.run(evacuatedAt);
  return fleet;
}

function getMoves(fleet: EvacuationFleet) {
  return fleet.decisions.filter(({event}) => event === 'run-moved');
}

const servingCases: ReadonlyArray<{
  readonly name: string;
  readonly step: Partial<Step> & {readonly cores?: number};
  /** Acts on the fleet in each simulation step after the evacuation. */
  readonly disturb?: (fleet: EvacuationFleet) => void;
  /** Largest number of tasks that may be away at a time; those that the test stops are among them. */
  readonly maxAway: number;
}> = [
  {name: 'one step', step: {count: 12, cores: 4}, maxAway: 1},
  {name: 'a bound of one', step: {count: 12, cores: 4, maxUnavailable: 1}, maxAway: 1},
  {name: 'a higher bound', step: {count: 12, cores: 4, maxUnavailable: 3}, maxAway: 1},
  {name: 'a target for the tail latency', step: {count: 9, cores: 4, tailTargetMs: 50}, maxAway: 1},
  {
    name: 'another task of the step fails now and then',
    step: {count: 12, cores: 4, maxUnavailable: 2},
    disturb: fleet => {
      if (fleet.now % 1_500 !== 0 || fleet.now > 12_000) return;
      const worker = fleet.workers.get('west-1');
      for (const task of [...(worker?.runs.keys() ?? [])].slice(0, 1)) worker?.fail(task);
    },
    maxAway: 2,
  },
];

for (const {name, step, disturb, maxAway} of servingCases) {
  void t.test(`serving tasks leave one at a time: ${name}`, async t => {
    const fleet = createFleet({lasting: true, ...step});
    const count = step.count ?? 1;
    t.equal(fleet.countUp(id), count, 'all tasks are up');
    t.not(fleet.countRunsIn('east'), 0, 'some of them in the data centre');
    let away = 0;
    let moves = 0;
    let movesWhileAway = 0;
    let allUpAt = fleet.now;
    fleet.onStep = () => {
      const moved = getMoves(fleet).length - moves;
      // The owner learns of a failure with the next report. The run that moves has not been stopped yet.
      if (fleet.countUp(id) === count) allUpAt = fleet.now;
      if (moved > 0 && fleet.now - allUpAt > reportMs) movesWhileAway += 1;
      moves += moved;
      disturb?.(fleet);
      away = Math.max(away, count - fleet.countUp(id));
    };
    fleet.evacuate('east');
    fleet.run(endsAt);
    t.equal(fleet.countRunsIn('east'), 0, 'the data centre is empty');
    t.equal(fleet.countUp(id), count, 'all tasks are up again');
    t.equal(movesWhileAway, 0, 'no move while a task is away');
    t.ok(away <= maxAway, `${away} tasks away at a time`);
    t.ok(getMoves(fleet).every(({reason}) => reason === 'evacuation'));
  });
}

void t.test('two steps are emptied side by side, one task of each at a time', async t => {
  const fleet = createFleet({count: 6, cores: 3, lasting: true});
  const other = '00000000000000a2';
  const step = createStep({count: 6, cores: 3, lasting: true});
  fleet.submit(createSubmission(other, plainQueue.key, [step]));
  fleet.run(6_000);
  let away = 0;
  fleet.onStep = () => {
    away = Math.max(away, 6 - fleet.countUp(id), 6 - fleet.countUp(other));
  };
  fleet.evacuate('east');
  fleet.run(endsAt);
  t.equal(fleet.countRunsIn('east'), 0);
  t.equal(away, 1);
});

void t.test('serving tasks stay where they are while there is no room elsewhere', async t => {
  const fleet = createFleet({count: 6, cores: 12, lasting: true});
  let away = 0;
  fleet.onStep = () => {
    away = Math.max(away, 6 - fleet.countUp(id));
  };
  fleet.evacuate('east');
  fleet.run(endsAt);
  t.equal(away, 0);
  t.same(getMoves(fleet), []);
});

void t.test('tasks stop leaving when the data centre is taken back', async t => {
  const fleet = createFleet({count: 12, cores: 4, lasting: true});
  const before = fleet.countRunsIn('east');
  fleet.evacuate('east');
  fleet.run(evacuatedAt + 700);
  fleet.evacuate();
  fleet.run(endsAt);
  t.equal(getMoves(fleet).length, 1);
  t.ok(fleet.countRunsIn('east') >= before - 1);
  t.equal(fleet.countUp(id), 12, 'the task that was on its way is up');
});

const long = {count: 6, cores: 4, estimatedMs: 25_000};
const finiteCases: ReadonlyArray<{
  readonly name: string;
  readonly step: Partial<Step> & {readonly cores?: number};
  readonly workers?: number;
  readonly moves: boolean;
}> = [
  {name: 'a long run with checkpoints moves', step: {...long, checkpoints: true}, moves: true},
  {
    name: 'a long filling run with checkpoints moves',
    step: {...long, checkpoints: true, fills: true, image: 'press'},
    moves: true,
  },
  {name: 'a long run without checkpoints ends by itself', step: long, moves: false},
  {
    name: 'a run that ends within the bound stays',
    step: {...long, checkpoints: true, estimatedMs: 7_000},
    moves: false,
  },
  {name: 'a gang ends by itself', step: {...long, checkpoints: true, gang: true}, moves: false},
  {
    name: 'a run stays when there is no room elsewhere',
    step: {...long, checkpoints: true, cores: 12},
    moves: false,
  },
];

for (const {name, step, moves} of finiteCases) {
  void t.test(name, async t => {
    const fleet = createFleet(step);
    t.not(fleet.countRunsIn('east'), 0, 'the data centre is in use');
    fleet.evacuate('east');
    fleet.run(60_000);
    t.equal(getMoves(fleet).length > 0, moves);
    t.equal(fleet.progress.get(id)?.final, 'completed');
    const doneAt = fleet.endedAt.get(id) ?? 0;
    // Work that was lost would make the submission twice as long.
    t.ok(doneAt < 1.6 * (step.estimatedMs ?? 0), `done at ${doneAt} ms`);
  });
}

void t.test('finite runs leave a few at a time', async t => {
  const fleet = createFleet({count: 36, cores: 2, estimatedMs: 25_000, checkpoints: true}, 9);
  const before = fleet.countRunsIn('east');
  t.not(before, 0);
  fleet.evacuate('east');
  const times = new Map<number, number>();
  fleet.run(endsAt);
  for (const {at} of getMoves(fleet)) times.set(at, (times.get(at) ?? 0) + 1);
  t.ok(times.size > 1, 'not all at the same time');
  t.ok([...times.values()].every(count => count <= 1));
  t.equal(fleet.countRunsIn('east'), 0);
});

const coldCases: ReadonlyArray<{
  readonly name: string;
  readonly coldMs: number;
  readonly count: number;
  /** Number of tasks that the cold worker gets. */
  readonly expected: number;
}> = [
  {
    name: 'a cold worker gets nothing while warm ones have room',
    coldMs: 9_000,
    count: 8,
    expected: 0,
  },
  {
    name: 'a cold worker gets what the warm ones have no room for',
    coldMs: 9_000,
    count: 12,
    expected: 4,
  },
  {name: 'a worker that has become warm is like the others', coldMs: 500, count: 8, expected: 4},
];

for (const {name, coldMs, count, expected} of coldCases) {
  void t.test(name, async t => {
    const fleet = new EvacuationFleet(3);
    fleet.run(1_000);
    fleet.setCold('east-0', coldMs);
    fleet.run(2_000);
    const step = createStep({count, cores: 4, estimatedMs: 5_000, fills: false});
    fleet.submit(createSubmission(id, plainQueue.key, [step]));
    fleet.run(3_000);
    t.equal(fleet.countRunsIn('east'), expected);
  });
}

const shortQueue = createQueue({name: 'short', stretchFactor: 100, targetLatencyMs: 60_000});

/** Lets the worker in the east run alone, slowed down by a factor. */
function createSlowFleet(slowness: number) {
  const fleet = new EvacuationFleet(3, {
    queues: [plainQueue, shortQueue],
    timing: {coldOverage: 4},
  });
  fleet.run(1_000);
  const [worker] = fleet.workers.values();
  if (worker) worker.slowness = slowness;
  fleet.evacuate('west', 'south');
  return fleet;
}

void t.test('a run that began on a cold worker is not a straggler', async t => {
  const fleet = createSlowFleet(5);
  // The owner learns that the worker is slow.
  const short = createStep({count: 4, cores: 4, estimatedMs: 400});
  fleet.submit(createSubmission('00000000000000a0', shortQueue.key, [short]));
  fleet.run(4_000);
  fleet.setCold('east-0', 10_000);
  const step = createStep({count: 4, cores: 4, estimatedMs: 3_000, checkpoints: true});
  fleet.submit(createSubmission(id, plainQueue.key, [step]));
  fleet.run(5_000);
  fleet.evacuate();
  fleet.run(22_000);
  t.equal(fleet.progress.get(id)?.final, 'completed');
  t.notOk(fleet.decisions.some(({event}) => event === 'run-stopped'));
});

for (const [coldMs, isLearned] of [
  [10_000, false],
  [0, true],
] as const) {
  void t.test(`run times on a worker that is cold for ${coldMs} ms`, async t => {
    const fleet = createSlowFleet(3);
    fleet.setCold('east-0', coldMs);
    fleet.submit(
      createSubmission(id, plainQueue.key, [createStep({count: 2, estimatedMs: 1_000})]),
    );
    fleet.run(6_000);
    t.equal(fleet.progress.get(id)?.final, 'completed');
    const backlog = fleet.dispatcher.getQueueBacklogs(fleet.now)?.get(plainQueue);
    t.equal(backlog?.runTimeFactor !== 1, isLearned, 'is the factor of the queue learned');
  });
}

void t.test('the room that a serving task moves to is not given away meanwhile', async t => {
  const fleet = createFleet({count: 1, cores: 10, lasting: true}, 2);
  const [agent = ''] = [...fleet.workers].find(([, {runs}]) => runs.size > 0) ?? [];
  const {dataCentre = ''} = fleet.workers.get(agent) ?? {};
  // The stop arrives late.
  fleet.silences.set(agent, 'to-agent');
  fleet.evacuate(dataCentre);
  fleet.run(evacuatedAt + 200);
  t.equal(getMoves(fleet).length, 1);
  const flood = createStep({count: 20, cores: 2, estimatedMs: 15_000});
  fleet.submit(createSubmission('00000000000000a2', plainQueue.key, [flood]));
  fleet.run(evacuatedAt + 600);
  fleet.silences.clear();
  fleet.run(evacuatedAt + 3_000);
  t.equal(fleet.countUp(id), 1, 'the task is up');
  t.equal(fleet.countRunsIn(dataCentre), 0);
  t.notOk(fleet.decisions.some(({reason}) => reason === 'room-for-serving-task'));
});

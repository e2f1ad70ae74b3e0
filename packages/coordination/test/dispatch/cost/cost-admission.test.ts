import t from 'tap';
import {
  CostAdmission,
  type CostDecision,
  createWaitingCurve,
  decideAdmission,
  decideCostAdmission,
  FillingThroughput,
  getRetryAfterSeconds,
  getWaitAhead,
  type WaitingCurve,
} from '../../../src/dispatch/index.js';
import type {Queue, Step} from '../../../src/submissions/index.js';
import {createFillingStep} from '../fleet/filling-fleet.js';
import {createStep, createSubmission, sharedQueues} from '../fleet/shared-load.js';
import {VirtualFleet} from '../fleet/virtual-fleet.js';

const {quick, batch} = sharedQueues;

function createFleet(): VirtualFleet {
  return new VirtualFleet({
    seed: 1,
    queues: [quick, batch],
    workers: [0, 1, 2].map(index => ({
      agent: `w${index}`,
      life: `life-${index}`,
      cores: 16,
      rack: 'r0',
    })),
    timing: {scheduling: 'cost'},
  });
}

const id = 'f'.repeat(16);

/** Returns the decisions of the rules by cost and by the sum of the waiting work. */
function decide(fleet: VirtualFleet, queue: Queue, steps: readonly Step[]) {
  const backlogs = fleet.dispatcher.getQueueBacklogs(fleet.now);
  const admission = new CostAdmission();
  if (backlogs) admission.update(backlogs, fleet.now);
  return {
    cost: admission.decide({id, queue, steps}, 1, fleet.now),
    sum: decideAdmission(queue, steps, false, backlogs?.get(queue)),
  };
}

// The sum counts the large work, which is placed after the small submission, as if it were ahead of it.
void t.test('a small submission behind a large backlog is accepted', async t => {
  const fleet = createFleet();
  for (let i = 0; i < 4; i += 1) {
    const steps = [createFillingStep(120, 6_000)];
    fleet.submit(createSubmission(`${i}`.repeat(16), batch.key, steps));
  }
  fleet.run(1_000);
  const {cost, sum} = decide(fleet, batch, [createFillingStep(2, 1_000)]);
  t.equal(sum.kind, 'refuse');
  t.equal(cost?.kind, 'accept');
});

void t.test('a hopeless submission is refused at once, with the expected wait', async t => {
  const fleet = createFleet();
  for (let i = 0; i < 40; i += 1) {
    const steps = [createFillingStep(12, 3_000)];
    fleet.submit(createSubmission(i.toString(16).padStart(16, '0'), batch.key, steps));
  }
  fleet.run(1_000);
  const {cost} = decide(fleet, batch, [createFillingStep(48, 3_000)]);
  t.match(cost, {kind: 'refuse', reason: 'backlog'});
  t.ok(cost?.kind === 'refuse' && cost.waitMs > 10_000);
});

void t.test('filling work does not delay the work of small tasks', async t => {
  const fleet = createFleet();
  for (let i = 0; i < 30; i += 1) {
    const steps = [createFillingStep(24, 4_000)];
    fleet.submit(createSubmission(i.toString(16).padStart(16, '0'), batch.key, steps));
  }
  fleet.run(1_000);
  t.equal(decide(fleet, quick, [createStep({count: 10, cores: 0.3})]).cost?.kind, 'accept');
});

const steps = [createFillingStep(12, 2_000)];
const item = {density: 1e-4, coreMs: 48_000, value: 1, slackMs: 3_000};
const curves: ReadonlyArray<{
  readonly name: string;
  readonly curve: Partial<WaitingCurve>;
  readonly acceptedCoreMs?: number;
  readonly decision: Partial<CostDecision>;
}> = [
  {name: 'idle workers', curve: {}, decision: {kind: 'accept'}},
  {name: 'no usable worker', curve: {cores: 0}, decision: {kind: 'accept'}},
  {
    name: 'more urgent work',
    curve: {urgentWaitMs: 60_000},
    decision: {kind: 'refuse', reason: 'backlog'},
  },
  {
    name: 'work that was accepted since',
    curve: {},
    acceptedCoreMs: 3_000_000,
    decision: {kind: 'refuse', reason: 'backlog'},
  },
  {
    name: 'lateness that costs the work behind it nothing',
    curve: {urgentWaitMs: 6_000},
    decision: {kind: 'accept'},
  },
  {
    name: 'lateness that costs the work behind it more than it is worth',
    curve: {urgentWaitMs: 6_000, points: [{rank: 99, waitMs: 9_000, lossPerSecond: 2}]},
    decision: {kind: 'refuse', reason: 'displacement'},
  },
];
for (const {name, curve, acceptedCoreMs = 0, decision} of curves) {
  void t.test(`decision behind ${name}`, async t => {
    const idle = createWaitingCurve({cores: 48, urgentCoreMs: 0, items: []});
    t.match(
      decideCostAdmission({
        id,
        queue: batch,
        steps,
        runTimeFactor: 1,
        queueWork: undefined,
        curve: {...idle, ...curve},
        acceptedCoreMs,
      }),
      decision,
    );
  });
}

void t.test('a curve has few points, and counts only denser work as ahead', async t => {
  const items = Array.from({length: 100}, (_, i) => ({...item, density: 2 ** -(i / 8)}));
  const curve = createWaitingCurve({cores: 48, urgentCoreMs: 48_000, items});
  t.ok(curve.points.length <= 6);
  t.equal(getWaitAhead(curve, -10), 1_000);
  t.equal(getWaitAhead(curve, 1_000), 101_000);
  const middle = getWaitAhead(curve, 25);
  t.ok(middle > 35_000 && middle < 65_000, `${middle} ms behind about half of the work`);
});

void t.test('refused callers return at different times, but not sooner than useful', async t => {
  const delays = Array.from({length: 200}, (_, i) => getRetryAfterSeconds(`id ${i}`, 6_000));
  t.ok(Math.min(...delays) >= 6);
  t.ok(Math.max(...delays) <= 12);
  t.ok(new Set(delays).size >= 6, 'spread');
  t.equal(getRetryAfterSeconds('id', 6_000), getRetryAfterSeconds('id', 6_000));
  t.ok(getRetryAfterSeconds('id', 1e9) <= 30);
});

void t.test('the throughput of filling tasks is that while some of them wait for room', async t => {
  const throughput = new FillingThroughput();
  const play = (from: number, to: number, isSaturated: boolean, cores: number) => {
    for (let at = from; at < to; at += 500) {
      throughput.sample('s', isSaturated, at);
      throughput.recordFinished('s', cores * 500);
    }
  };
  play(0, 20_000, false, 5);
  t.equal(throughput.getCores('s'), undefined, 'the load is no measure of the capacity');
  play(20_000, 80_000, true, 40);
  play(80_000, 90_000, false, 5);
  const cores = throughput.getCores('s') ?? 0;
  t.ok(Math.abs(cores - 40) < 3, `${cores} processors`);
});

import fc from 'fast-check';
import t from 'tap';
import {PairInterferenceModel} from '../../../src/colocation/pair-interference-model.js';
import {DispatchState} from '../../../src/dispatch/dispatch-state.js';
import {defaultDispatchTiming} from '../../../src/dispatch/dispatch-timing.js';
import {InterferenceModel} from '../../../src/dispatch/interference/interference-model.js';
import {LoadForecasts} from '../../../src/dispatch/interference/load-forecasts.js';
import {checkLearnedState} from '../../../src/dispatch/learned/check-learned-state.js';
import {
  collectLearnedState,
  type LearnedState,
  maxLearnedLoads,
  restoreLearnedState,
  restoreLearnedWorker,
} from '../../../src/dispatch/learned/learned-state.js';
import {WorkerView} from '../../../src/dispatch/worker-view.js';
import type {QueuePolicy} from '../../../src/submissions/index.js';

const queue = {key: 'a.example/x/'} as QueuePolicy;
const life = 'w@1';
const description = {
  life,
  id: 'w',
  service: 's',
  dataCentre: 'dc',
  rack: 'r',
  labels: [],
  capacity: {processors: 32, memoryMb: 1_000, accelerators: 0, slots: 0},
  state: 'ready',
} as const;

/** Clocks of two processes differ by the times since their hosts have started. */
const senderAt = 5_000_000;
const receiverAt = 77_000;

function createState(): DispatchState {
  return new DispatchState(defaultDispatchTiming);
}

/** Sends a learned state as another process receives it. */
function send(learned: LearnedState): LearnedState {
  return checkLearnedState(JSON.parse(JSON.stringify(learned))).learned;
}

void t.test('a successor estimates run times and workers as the owner before it', async t => {
  const sender = createState();
  for (let run = 0; run < 20; run += 1) sender.observeRunTime(queue, 1_000, 2_500);
  const worker = new WorkerView('agent', description, senderAt);
  worker.slowness = 3;
  for (let failure = 0; failure < 6; failure += 1) worker.health.recordFailure(0, 50, senderAt);
  t.ok(worker.health.isSuspended(senderAt));
  sender.workers.set('agent', worker);
  const learned = collectLearnedState(sender, new InterferenceModel(), senderAt);

  const receiver = createState();
  t.equal(restoreLearnedState(send(learned), receiver, new InterferenceModel(), receiverAt), 2);
  t.equal(receiver.getRunTimeFactor(queue), sender.getRunTimeFactor(queue));
  const sameWorker = new WorkerView('agent', description, receiverAt);
  restoreLearnedWorker(sameWorker, receiver, receiverAt);
  t.equal(sameWorker.slowness, 3);
  t.ok(sameWorker.health.isSuspended(receiverAt));
  t.notOk(sameWorker.health.isSuspended(receiverAt + 60_000), 'the suspension ends');
  const other = new WorkerView('agent', {...description, life: 'w@2'}, receiverAt);
  restoreLearnedWorker(other, receiver, receiverAt);
  t.equal(other.slowness, 1, 'another incarnation may run on another host');
});

void t.test('a successor forecasts the loads of serving steps on its own clock', async t => {
  const sender = new LoadForecasts();
  const periodMs = 16_000;
  const getLoad = (at: number) => 0.5 + 0.2 * Math.sin((2 * Math.PI * at) / periodMs);
  for (let at = senderAt - 60_000; at <= senderAt; at += 500) {
    sender.update('step', getLoad(at), 0.03, at);
  }
  const [learned] = sender.getLearned(senderAt, 1);
  const receiver = new LoadForecasts();
  t.ok(learned && receiver.restore(learned, receiverAt));
  for (const aheadMs of [0, 1_000, 4_000, 8_000, 12_000]) {
    const expected = sender.estimate('step', senderAt + aheadMs);
    const found = receiver.estimate('step', receiverAt + aheadMs);
    t.ok(Math.abs(found.load - expected.load) < 1e-6, `in ${aheadMs} ms: ${found.load}`);
    t.ok(Math.abs(found.deviation - expected.deviation) < 1e-6);
  }
});

void t.test(
  'a successor knows the pairs of images that the owner before it has measured',
  async t => {
    const sender = new PairInterferenceModel();
    for (let at = senderAt - 10_000; at < senderAt; at += 500) {
      sender.observeEffect('serving', new Map([['filling', 0.5]]), 0.3, at);
    }
    sender.getMean('serving', 'never measured', senderAt);
    const learned = sender.getLearned(senderAt, 10);
    t.equal(learned.length, 1);
    const receiver = new PairInterferenceModel();
    t.ok(learned[0] && receiver.restore(learned[0], receiverAt));
    const expected = sender.getMean('serving', 'filling', senderAt);
    t.ok(Math.abs(receiver.getMean('serving', 'filling', receiverAt) - expected) < 1e-9);
    t.ok(receiver.isKnown('serving', 'filling', receiverAt));
  },
);

void t.test('a process that has measured by itself does not use what it is handed', async t => {
  const sender = createState();
  sender.observeRunTime(queue, 1_000, 9_000);
  const receiver = createState();
  for (let run = 0; run < 5; run += 1) receiver.observeRunTime(queue, 1_000, 1_000);
  const factor = receiver.getRunTimeFactor(queue);
  const learned = collectLearnedState(sender, new InterferenceModel(), senderAt);
  t.equal(restoreLearnedState(send(learned), receiver, new InterferenceModel(), receiverAt), 0);
  t.equal(receiver.getRunTimeFactor(queue), factor);
});

const load = {key: 's', difference: 0, misfitVariance: 0, noiseVariance: 0, ageMs: 0, sums: [0]};
const runTimes = {queue: 'q', count: 1, mean: 0, squaredDeviations: 0};
const malformed: ReadonlyArray<{
  readonly name: string;
  readonly value: unknown;
  readonly ignored: number;
}> = [
  {name: 'no record', value: 'text', ignored: 1},
  {name: 'a list that is none', value: {pairs: {}}, ignored: 1},
  {name: 'a count below 0', value: {runTimes: [{...runTimes, count: -1}, runTimes]}, ignored: 1},
  {name: 'a value that is not a number', value: {runTimes: [{...runTimes, mean: '1'}]}, ignored: 1},
  {
    name: 'a name that is too long',
    value: {workers: [{life: 'x'.repeat(9_999), slowness: 1}]},
    ignored: 1,
  },
  {name: 'a slowness of 0', value: {workers: [{life, slowness: 0}]}, ignored: 1},
  {
    name: 'evidence of another type',
    value: {workers: [{life, slowness: 1, evidence: 1}]},
    ignored: 1,
  },
  {name: 'a sum that is infinite', value: {loads: [{...load, sums: [Infinity]}]}, ignored: 1},
  {
    name: 'more items than allowed',
    value: {loads: Array(maxLearnedLoads + 3).fill(load)},
    ignored: 3,
  },
  {name: 'fields of a later version', value: {other: [1]}, ignored: 0},
];

for (const {name, value, ignored} of malformed) {
  void t.test(`what is malformed is left out and counted: ${name}`, async t => {
    t.equal(checkLearnedState(value).ignored, ignored);
  });
}

void t.test('no load that passes the check makes a forecast that is not a number', async t => {
  const sample = new LoadForecasts();
  for (let at = 0; at < 5_000; at += 500) sample.update('s', 0.5, 0.05, at);
  const count = sample.getLearned(5_000, 1)[0]?.sums.length ?? 0;
  const sums = fc.array(fc.double({min: -1e9, max: 1e9, noNaN: true}), {
    minLength: count,
    maxLength: count,
  });
  fc.assert(
    fc.property(sums, values => {
      const {loads} = checkLearnedState({loads: [{...load, sums: values}]}).learned;
      const forecasts = new LoadForecasts();
      if (!loads[0] || !forecasts.restore(loads[0], receiverAt)) return true;
      return Number.isFinite(forecasts.estimate('s', receiverAt + 1_000).load);
    }),
    {seed: 5, numRuns: 100},
  );
  t.pass();
});

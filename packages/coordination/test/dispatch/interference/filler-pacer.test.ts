import t from 'tap';
import {createStep, createSubmission, sharedQueues} from '../fleet/shared-load.js';
import {VirtualFleet} from '../fleet/virtual-fleet.js';
import {createWorkers, type VirtualWorker} from '../fleet/virtual-worker.js';

const targetMs = 50;
const maxOverTargetMs = 4_000;
const serving = '00000000000000a1';
const filling = '00000000000000b1';
const busyTask = `${serving}.0.0.0`;
/** Time in milliseconds at which the filling tasks are submitted: the loads of the serving tasks are known by then. */
const fillingAt = 6_000;
const endMs = 20_000;
/** Time in milliseconds for which a worker is not heard of, short enough that it remains reachable. */
const silenceMs = 2_000;
/** Load of a serving task, and one at which it is near its target alone and over it beside the filling tasks. */
const usualLoad = 0.3;
const busyLoad = 0.74;
/** Load at which it is over its target by a twentieth beside the filling tasks. */
const slightlyBusyLoad = 0.435;
/** Load of a short peak, at which it is over its target beside the filling tasks. */
const peakLoad = 0.5;

interface FleetOptions {
  readonly servingTasks: number;
  readonly checkpoints?: boolean;
  /** Load of the first serving task, by default `busyLoad` from `fillingAt` on. */
  readonly getLoad?: (at: number) => number;
  readonly bound?: number;
  readonly latencyFactor?: number;
  readonly lostPaces?: number;
}

/** Creates a worker with serving tasks of one step, beside which filling tasks are started at `fillingAt`. */
function createFleet(options: FleetOptions): VirtualFleet {
  const {servingTasks, checkpoints = true, latencyFactor = 1, lostPaces = 0} = options;
  const getLoad = options.getLoad ?? (at => (at > fillingAt ? busyLoad : usualLoad));
  const fleet = new VirtualFleet({
    seed: 1,
    queues: Object.values(sharedQueues),
    workers: createWorkers(1).map(worker => ({...worker, latencyFactor, lostPaces})),
    timing: {maxOverTargetMs: options.bound ?? maxOverTargetMs},
    getLoad: (_, at, task) => (task === busyTask ? getLoad(at) : usualLoad),
    getPressure: () => 0.6,
  });
  const servingStep = createStep({
    count: servingTasks,
    cores: 2,
    lasting: true,
    image: 'site',
    tailTargetMs: targetMs,
  });
  const fillingStep = createStep({
    count: 5,
    cores: 2,
    fills: true,
    checkpoints,
    image: 'render',
    estimatedMs: 60_000,
  });
  fleet.submit(createSubmission(serving, sharedQueues.watch.key, [servingStep]));
  fleet.run(fillingAt);
  fleet.submit(createSubmission(filling, sharedQueues.batch.key, [fillingStep]));
  return fleet;
}

function getWorker(fleet: VirtualFleet): VirtualWorker {
  const worker = fleet.workers.get('w0');
  if (worker === undefined) throw new RangeError('no worker');
  return worker;
}

/** Runs the fleet; returns the longest time in milliseconds for which filling tasks have kept a serving task over its target. */
function measureOverTargetMs(fleet: VirtualFleet, prepare: () => void = () => {}): number {
  let overSince = Number.POSITIVE_INFINITY;
  let longestMs = 0;
  fleet.onStep = () => {
    prepare();
    const runs = [...getWorker(fleet).runs.values()];
    const isFilled = runs.some(run => run.behaviour.step.fills && run.pace > 0);
    const isOver = runs.some(run => run.behaviour.step.lasting && run.tailMs > targetMs);
    overSince = isOver ? Math.min(overSince, fleet.now) : Number.POSITIVE_INFINITY;
    if (isFilled) longestMs = Math.max(longestMs, fleet.now - overSince);
  };
  fleet.run(endMs);
  return longestMs;
}

function countPauses(fleet: VirtualFleet): number {
  return fleet.decisions.filter(({reason}) => reason === 'serving-task-over-target').length;
}

const harmedCases: ReadonlyArray<{
  readonly name: string;
  readonly servingTasks: number;
  readonly checkpoints?: boolean;
  readonly latencyFactor?: number;
  readonly lostPaces?: number;
  readonly getLoad?: (at: number) => number;
  /** Changes the fleet once, this long after the submission of the filling tasks. */
  readonly event?: {readonly afterMs: number; readonly act: (fleet: VirtualFleet) => void};
}> = [
  {name: 'alone in its step', servingTasks: 1},
  {name: 'one of three of its step', servingTasks: 3},
  {name: 'one of three, beside tasks without checkpoints', servingTasks: 3, checkpoints: false},
  {
    name: 'alone, beside a task without checkpoints whose pause is lost',
    servingTasks: 1,
    checkpoints: false,
    lostPaces: 1,
  },
  {
    name: 'one of three, beside tasks without checkpoints whose pauses are lost',
    servingTasks: 3,
    checkpoints: false,
    lostPaces: 5,
  },
  {
    name: 'one of three, slightly over its target and listed as under it',
    servingTasks: 3,
    latencyFactor: 0.86,
    getLoad: at => (at > fillingAt ? slightlyBusyLoad : usualLoad),
  },
  {
    name: 'one of three, whose worker is not heard of for a while',
    servingTasks: 3,
    event: {
      afterMs: 1_200,
      act: fleet => {
        const {onStep, now} = fleet;
        fleet.silences.set('w0', 'from-agent');
        fleet.onStep = () => {
          if (fleet.now >= now + silenceMs) fleet.silences.delete('w0');
          onStep();
        };
      },
    },
  },
  {
    name: 'one of three, of whose latency the next owner knows nothing',
    servingTasks: 3,
    event: {afterMs: 1_400, act: fleet => fleet.startOwner()},
  },
];

for (const {name, event, ...options} of harmedCases) {
  void t.test(`filling tasks do not keep a serving task over its target: ${name}`, async t => {
    const fleet = createFleet(options);
    let isDone = false;
    const longestMs = measureOverTargetMs(fleet, () => {
      if (isDone || event === undefined || fleet.now < fillingAt + event.afterMs) return;
      isDone = true;
      event.act(fleet);
    });
    t.ok(longestMs > 0, 'the task was over its target');
    t.ok(longestMs < maxOverTargetMs, `${longestMs} ms over the target`);
  });
}

const pauseCases: ReadonlyArray<{
  readonly name: string;
  readonly bound?: number;
  readonly getLoad?: (at: number) => number;
  readonly isPaused: boolean;
}> = [
  {name: 'paused: over the target for long', isPaused: true},
  {
    name: 'not paused: over the target for 0.4 s',
    getLoad: at => (at > 8_000 && at <= 8_400 ? peakLoad : usualLoad),
    isPaused: false,
  },
  {
    name: 'not paused: over the target again and again for 0.4 s',
    getLoad: at => (at % 2_000 < 400 ? peakLoad : usualLoad),
    isPaused: false,
  },
  {name: 'not paused: without a bound', bound: Number.POSITIVE_INFINITY, isPaused: false},
];

for (const {name, isPaused, ...options} of pauseCases) {
  void t.test(`filling tasks beside one of three serving tasks are ${name}`, async t => {
    const fleet = createFleet({servingTasks: 3, ...options});
    const overTargetMs = measureOverTargetMs(fleet);
    t.ok(overTargetMs > 0, 'the task was over its target');
    t.equal(countPauses(fleet) > 0, isPaused);
  });
}

void t.test('a filling task waits while a serving task is over its target by itself', async t => {
  const overloadEndsAt = 10_000;
  const fleet = createFleet({
    servingTasks: 3,
    getLoad: at => (at > 3_000 && at < overloadEndsAt ? 0.9 : usualLoad),
  });
  fleet.run(endMs);
  const starts = fleet.decisions.filter(
    ({event, submission}) => event === 'run-placed' && submission === filling,
  );
  t.ok(starts.length > 0, 'it starts later');
  t.ok(
    starts.every(({at}) => at >= overloadEndsAt),
    starts.map(({at}) => at).join(' '),
  );
});

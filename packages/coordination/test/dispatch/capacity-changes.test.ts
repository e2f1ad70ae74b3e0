import t from 'tap';
import {createStep, createSubmission} from './fleet/shared-load.js';
import {createQueue, VirtualFleet} from './fleet/virtual-fleet.js';

const queue = createQueue({name: 'work', stretchFactor: 100, targetLatencyMs: 60_000});
const agent = 'w0';
const full = {processors: 16, memoryMb: 64_000, accelerators: 0, slots: 0};
/** Times in milliseconds at which the capacity shrinks and grows again, and the simulation ends. */
const shrinksAt = 2_000;
const growsAt = 9_000;
const endsAt = 20_000;

/** Describes the worker with another capacity, as its agent does when a heartbeat has shown it. */
function describe(fleet: VirtualFleet, capacity: Partial<typeof full>): void {
  fleet.post({
    kind: 'message',
    agent,
    message: {
      kind: 'worker',
      worker: {
        life: 'w0-life',
        id: 'w0-life',
        service: 'service',
        dataCentre: 'dc',
        rack: 'r0',
        labels: ['a', 'r0'],
        capacity: {...full, ...capacity},
        state: 'ready',
      },
    },
  });
}

const cases = [
  {name: 'processors to half', shrunk: {processors: 8}, room: 4, step: {}},
  {name: 'processors below one task', shrunk: {processors: 1}, room: 0, step: {}},
  {name: 'memory to a quarter', shrunk: {memoryMb: 2_000}, room: 4, step: {}},
  {name: 'processors to nothing', shrunk: {processors: 0}, room: 0, step: {}},
  {
    name: 'memory, for filling tasks',
    shrunk: {memoryMb: 2_000},
    room: 4,
    step: {fills: true, image: 'press'},
  },
  {name: 'processors, for a gang', shrunk: {processors: 8}, room: 0, step: {gang: true}},
];

for (const {name, shrunk, room, step} of cases) {
  void t.test(`a worker whose capacity shrinks gets no more than fits: ${name}`, async t => {
    const fleet = new VirtualFleet({
      seed: 1,
      queues: [queue],
      workers: [{agent, life: 'w0-life', cores: 16, rack: 'r0'}],
    });
    // Each task takes two processors and 500 MB.
    for (let index = 0; index < 8; index += 1) {
      const id = `00000000000000a${index}`;
      const fields = {count: 8, cores: 2, estimatedMs: 1_500, ...step};
      fleet.submit(createSubmission(id, queue.key, [createStep(fields)]));
    }
    let isShrunk = false;
    let excess = 0;
    const placed = () => fleet.decisions.filter(({event}) => event === 'run-placed').length;
    let before = placed();
    fleet.onStep = () => {
      const runs = fleet.workers.get(agent)?.runs.size ?? 0;
      if (isShrunk && placed() > before && runs > room) excess = Math.max(excess, runs - room);
      before = placed();
    };
    fleet.run(shrinksAt);
    const runs = fleet.workers.get(agent)?.runs.size ?? 0;
    t.ok(runs > room, `${runs} runs before the capacity shrinks`);
    describe(fleet, shrunk);
    // Starts that were sent before the description arrived are still on their way.
    fleet.run(shrinksAt + 50);
    isShrunk = true;
    fleet.run(growsAt);
    t.equal(excess, 0, 'no start beyond the capacity');
    isShrunk = false;
    describe(fleet, {});
    const placedUntilGrowth = placed();
    fleet.run(endsAt);
    t.ok(placed() > placedUntilGrowth, 'the room that has grown is used');
  });
}

void t.test('a run that is being stopped counts when the capacity has shrunk', async t => {
  const fleet = new VirtualFleet({
    seed: 1,
    queues: [queue],
    workers: [{agent, life: 'w0-life', cores: 16, rack: 'r0'}],
  });
  const step = createStep({count: 4, cores: 2, estimatedMs: 30_000});
  fleet.submit(createSubmission('00000000000000a1', queue.key, [step]));
  fleet.run(1_000);
  describe(fleet, {processors: 8});
  // The agent cannot be reached, so the stops have no result yet.
  fleet.silences.set(agent, 'to-agent');
  fleet.post({kind: 'cancelled', id: '00000000000000a1'});
  fleet.submit(createSubmission('00000000000000a2', queue.key, [step]));
  fleet.run(2_000);
  const starts = () =>
    fleet.decisions.filter(
      ({event, submission}) => event === 'run-placed' && submission === '00000000000000a2',
    ).length;
  t.equal(starts(), 0, 'no start while the stops are under way');
  fleet.silences.clear();
  fleet.run(3_000);
  t.equal(starts(), 4);
});

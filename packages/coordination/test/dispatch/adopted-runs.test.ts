import t from 'tap';
import {createFillingFleet, createFillingStep} from './fleet/filling-fleet.js';
import {createStep, createSubmission, sharedQueues} from './fleet/shared-load.js';
import {VirtualFleet} from './fleet/virtual-fleet.js';
import {createWorkers} from './fleet/virtual-worker.js';

const queue = sharedQueues.quick.key;
/** Run time of all tasks in milliseconds, and the time in milliseconds between two changes of the owner. */
const runMs = 2_000;
const ownershipMs = 1_500;

void t.test(
  'an owner does not learn run times from runs of which it has seen only the end',
  async t => {
    const fleet = new VirtualFleet({
      seed: 1,
      queues: Object.values(sharedQueues),
      workers: createWorkers(4),
    });
    const step = createStep({count: 8, cores: 1, estimatedMs: runMs});
    const factors: number[] = [];
    for (let turn = 1; turn <= 6; turn += 1) {
      fleet.submit(createSubmission(`00000000000000a${turn}`, queue, [step]));
      fleet.run(turn * ownershipMs);
      const backlogs = fleet.dispatcher.getQueueBacklogs(fleet.now);
      const known = backlogs?.queues.find(state => state.queue === queue);
      factors.push(known?.runTimeFactor ?? 1);
      fleet.startOwner();
    }
    t.ok(
      factors.every(factor => factor > 0.8),
      factors.join(' '),
    );
  },
);

void t.test('an owner ends the slow pace that the previous one has commanded', async t => {
  const fleet = createFillingFleet();
  const step = createFillingStep(6, 60_000);
  fleet.submit(createSubmission('00000000000000b1', sharedQueues.batch.key, [step]));
  fleet.run(3_000);
  const getRuns = () => [...fleet.workers.values()].flatMap(({runs}) => [...runs.values()]);
  t.equal(getRuns().length, 6);
  // The serving tasks beside them have ended since.
  for (const run of getRuns()) run.pace = 20;
  fleet.run(4_000);
  fleet.startOwner();
  fleet.run(6_000);
  t.same(
    getRuns().map(({pace}) => pace),
    Array(6).fill(100),
  );
  const commands = fleet.decisions.filter(({event}) => event === 'run-paced');
  t.equal(commands.length, 6, 'each run gets one command');
});

void t.test('runs at full pace get no command from a new owner', async t => {
  const fleet = createFillingFleet();
  const step = createFillingStep(6, 60_000);
  fleet.submit(createSubmission('00000000000000b1', sharedQueues.batch.key, [step]));
  fleet.run(4_000);
  fleet.startOwner();
  fleet.run(6_000);
  t.same(
    fleet.decisions.filter(({event}) => event === 'run-paced'),
    [],
  );
});

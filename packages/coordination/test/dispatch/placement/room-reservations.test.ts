import t from 'tap';
import {createStep, createSubmission} from '../fleet/shared-load.js';
import {createQueue, VirtualFleet} from '../fleet/virtual-fleet.js';
import type {VirtualWorker} from '../fleet/virtual-worker.js';

const quick = createQueue({name: 'quick', stretchFactor: 100, targetLatencyMs: 60_000});
const watch = createQueue({name: 'watch', priority: 1});
const watchId = '00000000000000f1';
const cores = 16;
/** Time in milliseconds within which a serving task must run again, however full the service is. */
const restartLimitMs = 3_000;
/** Time in milliseconds after which the flood occupies all workers. */
const failAt = 6_000;

/** A fleet with serving tasks of a fifth of a worker each, on which small finite work takes all other room. */
function createFullFleet(workers: number): VirtualFleet {
  const fleet = new VirtualFleet({
    seed: 3,
    queues: [quick, watch],
    workers: Array.from({length: workers}, (_, index) => ({
      agent: `w${index}`,
      life: `w${index}-life`,
      cores,
      rack: `r${index % 4}`,
    })),
  });
  const serving = createStep({count: workers, cores: cores / 5, lasting: true});
  fleet.submit(createSubmission(watchId, watch.key, [serving]));
  fleet.run(1_000);
  const tasks = workers * 200;
  const flood = createStep({count: tasks, cores: 0.7, estimatedMs: 900});
  fleet.submit(createSubmission('00000000000000f2', quick.key, [flood]));
  fleet.run(failAt);
  return fleet;
}

function getServingWorkers(fleet: VirtualFleet): VirtualWorker[] {
  return [...fleet.workers.values()].filter(worker =>
    [...worker.runs.keys()].some(task => task.startsWith(watchId)),
  );
}

function getServingTasks(worker: VirtualWorker | undefined): string[] {
  return [...(worker?.runs.keys() ?? [])].filter(task => task.startsWith(watchId));
}

function isRunning(fleet: VirtualFleet, task: string): boolean {
  return [...fleet.workers.values()].some(worker => worker.runs.has(task));
}

const sizes = [11, 76, 160];
for (const workers of sizes) {
  void t.test(`on ${workers} full workers, a serving task that failed runs again in time`, t => {
    const fleet = createFullFleet(workers);
    const [worker] = getServingWorkers(fleet);
    const [task = ''] = getServingTasks(worker);
    worker?.fail(task);
    fleet.run(failAt + restartLimitMs);
    t.ok(isRunning(fleet, task));
    t.end();
  });

  void t.test(
    `on ${workers} full workers, the serving tasks of a lost worker run again in time`,
    t => {
      const fleet = createFullFleet(workers);
      const [worker] = getServingWorkers(fleet);
      const tasks = getServingTasks(worker);
      const agent = worker?.options.agent ?? '';
      fleet.workers.delete(agent);
      const life = worker?.options.life ?? '';
      fleet.post({
        kind: 'message',
        agent,
        message: {kind: 'worker-gone', life, reason: 'refused-connection'},
      });
      fleet.run(failAt + restartLimitMs);
      t.ok(tasks.length > 0);
      t.same(
        tasks.filter(task => !isRunning(fleet, task)),
        [],
      );
      t.end();
    },
  );
}

const adoptedAt = failAt + 500;
for (const workers of sizes) {
  void t.test(
    `on ${workers} full workers, a serving task that a new owner has adopted runs again in time`,
    t => {
      const fleet = createFullFleet(workers);
      fleet.startOwner();
      fleet.run(adoptedAt);
      const [worker] = getServingWorkers(fleet);
      const [task = ''] = getServingTasks(worker);
      worker?.fail(task);
      fleet.run(adoptedAt + restartLimitMs);
      t.ok(isRunning(fleet, task));
      t.end();
    },
  );

  void t.test(
    `on ${workers} full workers, adopted serving tasks of a lost worker run again in time`,
    t => {
      const fleet = createFullFleet(workers);
      fleet.startOwner();
      fleet.run(adoptedAt);
      const [worker] = getServingWorkers(fleet);
      const tasks = getServingTasks(worker);
      const {agent = '', life = ''} = worker?.options ?? {};
      fleet.workers.delete(agent);
      fleet.post({
        kind: 'message',
        agent,
        message: {kind: 'worker-gone', life, reason: 'refused-connection'},
      });
      fleet.run(adoptedAt + restartLimitMs);
      t.ok(tasks.length > 0);
      t.same(
        tasks.filter(task => !isRunning(fleet, task)),
        [],
      );
      t.end();
    },
  );
}

void t.test('the room is free again at once when the serving task is cancelled', t => {
  const fleet = createFullFleet(11);
  const [worker] = getServingWorkers(fleet);
  const [task = ''] = getServingTasks(worker);
  worker?.fail(task);
  fleet.cancelled.add(watchId);
  fleet.post({kind: 'cancelled', id: watchId});
  fleet.run(failAt + 1_500);
  const free = [...fleet.workers.values()].filter(
    candidate => candidate.options.cores - candidate.reservedCores >= cores / 5,
  );
  t.same(
    free.map(candidate => candidate.options.agent),
    [],
  );
  t.end();
});

void t.test(
  'other tasks of the flood are not stopped when the task finds its own room again',
  t => {
    const fleet = createFullFleet(11);
    const [worker] = getServingWorkers(fleet);
    worker?.fail(getServingTasks(worker)[0] ?? '');
    fleet.run(failAt + restartLimitMs);
    const stopped = fleet.decisions.filter(({event}) => event === 'run-stopped');
    t.same(stopped, []);
    t.end();
  },
);

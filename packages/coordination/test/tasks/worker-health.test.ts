import t from 'tap';
import {WorkerHealth} from '../../src/tasks/round/worker-health.js';

const cases = [
  {name: 'two failures of one workload do not suspend', workloads: ['a', 'a'], suspended: false},
  {
    name: 'four failures of one workload do not suspend',
    workloads: ['a', 'a', 'a', 'a'],
    suspended: false,
  },
  {
    name: 'five consecutive failures of one workload suspend',
    workloads: ['a', 'a', 'a', 'a', 'a'],
    suspended: true,
  },
  {
    name: 'three failures across two workloads suspend',
    workloads: ['a', 'b', 'a'],
    suspended: true,
  },
];

for (const {name, workloads, suspended} of cases) {
  void t.test(`suspension of a worker whose tasks fail: ${name}`, async t => {
    const health = new WorkerHealth();
    for (const workload of workloads) health.recordFailure(workload, 1_000);
    t.equal(health.isSuspended(1_001), suspended);
  });
}

void t.test(
  'the success of a task started before the failures does not end a suspension or probation',
  async t => {
    const health = new WorkerHealth();
    for (const workload of ['a', 'b', 'a']) health.recordFailure(workload, 10_000);
    health.recordSuccess(5_000);
    t.ok(health.isSuspended(10_001));
    t.ok(health.isOnProbation(50_000));
    health.recordSuccess(45_000);
    t.notOk(health.isOnProbation(50_000), 'a later success ends the probation');
  },
);

void t.test('each failure on probation doubles the suspension up to ten minutes', async t => {
  const health = new WorkerHealth();
  for (const workload of ['a', 'b', 'a']) health.recordFailure(workload, 0);
  const delays: number[] = [];
  for (let round = 0; round < 7; round += 1) {
    const at = health.suspensionEndsAt;
    health.recordFailure('a', at);
    delays.push((health.suspensionEndsAt - at) / 1000);
  }
  t.same(delays, [60, 120, 240, 480, 600, 600, 600]);
});

import t from 'tap';
import {WorkerHealth} from '../../../src/dispatch/policy/worker-health.js';

/** Failures and ends of the failing work elsewhere. */
const sound = [0, 5] as const;
const faulty = [4, 4] as const;

const cases = [
  {name: 'one failure of sound work is no reason', failures: [sound], suspended: false},
  {name: 'three failures of sound work suspend', failures: [sound, sound, sound], suspended: true},
  {
    name: 'work that fails everywhere says nothing about a worker',
    failures: [faulty, faulty, faulty, faulty, faulty, faulty, faulty, faulty],
    suspended: false,
  },
];

for (const {name, failures, suspended} of cases) {
  void t.test(name, async t => {
    const evidence = new WorkerHealth();
    failures.forEach(([failed, ends], index) => evidence.recordFailure(failed, ends, index * 100));
    t.equal(evidence.isSuspended(1_000), suspended);
  });
}

void t.test('a suspended worker returns on probation and a newer success ends it', async t => {
  const evidence = new WorkerHealth();
  for (const at of [0, 100, 200]) evidence.recordFailure(...sound, at);
  t.ok(evidence.isSuspended(1_000));
  t.ok(evidence.isOnProbation(5_000));
  evidence.recordSuccess(100, 5_000);
  t.ok(evidence.isOnProbation(5_000), 'a run from before the failures tells nothing');
  evidence.recordSuccess(4_500, 5_500);
  t.notOk(evidence.isOnProbation(5_500));
});

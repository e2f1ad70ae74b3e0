import t from 'tap';
import {WorkerEvidence} from '../../../src/dispatch/supervision/worker-evidence.js';

/** Failed and ended runs of the same work on other workers. */
const succeedsElsewhere = [0, 5] as const;
const failsElsewhere = [4, 4] as const;

const cases = [
  {
    name: 'one failure of work that succeeds elsewhere does not suspend a worker',
    failures: [succeedsElsewhere],
    isSuspended: false,
  },
  {
    name: 'three failures of work that succeeds elsewhere suspend a worker',
    failures: [succeedsElsewhere, succeedsElsewhere, succeedsElsewhere],
    isSuspended: true,
  },
  {
    name: 'failures of work that fails everywhere do not suspend a worker',
    failures: [
      failsElsewhere,
      failsElsewhere,
      failsElsewhere,
      failsElsewhere,
      failsElsewhere,
      failsElsewhere,
      failsElsewhere,
      failsElsewhere,
    ],
    isSuspended: false,
  },
];

for (const {name, failures, isSuspended} of cases) {
  void t.test(name, async t => {
    const evidence = new WorkerEvidence();
    failures.forEach(([failed, ends], index) => evidence.recordFailure(failed, ends, index * 100));
    t.equal(evidence.isSuspended(1_000), isSuspended);
  });
}

void t.test('a success of a run that started after a suspension ends probation', async t => {
  const evidence = new WorkerEvidence();
  for (const at of [0, 100, 200]) evidence.recordFailure(...succeedsElsewhere, at);
  t.ok(evidence.isSuspended(1_000));
  t.ok(evidence.isOnProbation(5_000));
  evidence.recordSuccess(100, 5_000);
  t.ok(evidence.isOnProbation(5_000), 'a run from before the failures does not end it');
  evidence.recordSuccess(4_500, 5_500);
  t.notOk(evidence.isOnProbation(5_500));
});

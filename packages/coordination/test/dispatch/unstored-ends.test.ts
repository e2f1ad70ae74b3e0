import t from 'tap';
import {createStep, createSubmission} from './fleet/shared-load.js';
import {createQueue, VirtualFleet} from './fleet/virtual-fleet.js';

const queue = createQueue({name: 'proofs', maxAttempts: 1});
const id = '00000000000000a1';
/** Run time in milliseconds after which a faulty run of twice and a half the length fails. */
const durationMs = 400;

const cases: ReadonlyArray<{readonly name: string; readonly faulty: number}> = [
  {name: 'the first of three tasks fails', faulty: 0},
  {name: 'the second of three tasks fails', faulty: 1},
  {name: 'the third of three tasks fails', faulty: 2},
];

for (const {name, faulty} of cases) {
  void t.test(
    `the ends of a failed submission are acknowledged only once its failure is stored: ${name}`,
    async t => {
      const fleet = new VirtualFleet({
        seed: 1,
        queues: [queue],
        workers: ['w1', 'w2', 'w3'].map((agent, index) => ({
          agent,
          life: `${agent}-life`,
          cores: 16,
          rack: `r${index}`,
        })),
        getBehaviour: task =>
          task.endsWith(`.${faulty}`)
            ? {durationMs: durationMs * 2.5, faultyRuns: 1}
            : {durationMs},
      });
      fleet.run(200);
      fleet.submit(createSubmission(id, queue.key, [createStep({count: 3, spreadLimit: 1})]));
      fleet.run(400);
      fleet.isStoreSilent = true;
      fleet.run(2_500);
      const ends = [...fleet.workers.values()].flatMap(worker =>
        worker.ends.map(([, task, , how]) => `${task} ${how}`),
      );
      const expected = [0, 1, 2].map(
        index => `${id}.0.0.${index} ${index === faulty ? 'failed' : 'done'}`,
      );
      t.same(ends.sort(), expected, 'all ends are listed still');
      fleet.isStoreSilent = false;
      fleet.startOwner();
      fleet.run(12_000);
      const starts = fleet.decisions.filter(decision => decision.event === 'run-placed');
      t.equal(starts.length, 3, 'no task starts again');
      t.equal(fleet.progress.get(id)?.final, 'failed');
      const left = [...fleet.workers.values()].flatMap(worker => worker.ends);
      t.same(left, [], 'the ends are acknowledged after the write');
    },
  );
}

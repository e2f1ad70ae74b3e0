import t from 'tap';
import {SeededRandom} from '../../../src/routing/seeded-random.js';
import {createFillingFleet, createFillingStep} from '../fleet/filling-fleet.js';
import {createSubmission, sharedQueues} from '../fleet/shared-load.js';

const large = '00000000000000aa';
/** Longest time in milliseconds until a submission is begun, and for which it then stands still. */
const maxInitialIdleMs = 10_000;
const maxLaterIdleMs = 3_000;
const endMs = 60_000;

/** Short batches that arrive every half second and need all processors together. */
const loads = [
  {name: 'small batches', tasks: 12, estimatedMs: 1_000},
  {name: 'batches of long tasks', tasks: 3, estimatedMs: 4_000},
] as const;

for (const {name, tasks, estimatedMs} of loads) {
  void t.test(`a large batch does not stand still behind a lasting load of ${name}`, async t => {
    const {batch} = sharedQueues;
    const random = new SeededRandom(1);
    // Run times differ, so that processors become free all the time.
    const fleet = createFillingFleet(() => random.between(0.7, 1.3));
    let isBegun = false;
    let idleSince = 0;
    let longestIdleMs = 0;
    let longestInitialMs = 0;
    fleet.onStep = () => {
      const isRunning = [...fleet.workers.values()].some(worker =>
        [...worker.runs.keys()].some(task => task.startsWith(large)),
      );
      const idleMs = fleet.now - idleSince;
      if (isBegun) longestIdleMs = Math.max(longestIdleMs, idleMs);
      else longestInitialMs = idleMs;
      if (!isRunning) return;
      isBegun = true;
      idleSince = fleet.now;
    };
    let nextId = 1;
    const submitSmall = () => {
      const id = (nextId++).toString(16).padStart(16, '0');
      const steps = [createFillingStep(tasks, estimatedMs)];
      fleet.submit(createSubmission(id, batch.key, steps, {acceptedAtMs: fleet.now}));
    };
    submitSmall();
    fleet.run(500);
    idleSince = fleet.now;
    const steps = [createFillingStep(200, 4_000)];
    fleet.submit(createSubmission(large, batch.key, steps, {acceptedAtMs: fleet.now}));
    while (fleet.now < endMs) {
      submitSmall();
      fleet.run(fleet.now + 500);
    }
    t.ok(isBegun, 'it is begun');
    t.ok(longestInitialMs <= maxInitialIdleMs, `begun after ${longestInitialMs} ms`);
    t.ok(longestIdleMs <= maxLaterIdleMs, `stood still for ${longestIdleMs} ms`);
  });
}

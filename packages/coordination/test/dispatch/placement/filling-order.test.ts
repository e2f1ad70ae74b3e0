import t from 'tap';
import {getObjectiveMs} from '../../../src/submissions/index.js';
import {createFillingFleet, createFillingStep} from '../fleet/filling-fleet.js';
import {createSubmission, sharedQueues} from '../fleet/shared-load.js';

/** Time in milliseconds after which the short batches have ended, or are too late. */
const endMs = 40_000;

const cases = [
  {name: 'a batch that would take minutes', tasks: 60, estimatedMs: 40_000},
  {name: 'a batch with many tasks', tasks: 600, estimatedMs: 3_000},
] as const;

for (const {name, tasks, estimatedMs} of cases) {
  void t.test(`short batches are in time behind ${name}, and it is finished`, async t => {
    const {batch} = sharedQueues;
    const fleet = createFillingFleet();
    const long = createFillingStep(tasks, estimatedMs);
    fleet.submit(createSubmission('00000000000000aa', batch.key, [long]));
    const shortSteps = [createFillingStep(4, 1_500)];
    const submittedAt = new Map<string, number>();
    for (let index = 0; index < 10; index += 1) {
      fleet.run(fleet.now + 2_000);
      const id = (index + 1).toString(16).padStart(16, '0');
      submittedAt.set(id, fleet.now);
      fleet.submit(createSubmission(id, batch.key, shortSteps, {acceptedAtMs: fleet.now}));
    }
    fleet.run(endMs);
    const objectiveMs = getObjectiveMs(batch, shortSteps);
    for (const [id, at] of submittedAt) {
      const endedAt = fleet.endedAt.get(id) ?? Number.POSITIVE_INFINITY;
      t.ok(endedAt - at <= objectiveMs, `${id} took ${endedAt - at} of ${objectiveMs} ms`);
    }
    fleet.run(10 * endMs);
    t.ok(fleet.endedAt.has('00000000000000aa'), 'the long batch is not starved');
  });
}

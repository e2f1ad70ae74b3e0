import t from 'tap';
import {getObjectiveMs, type Step} from '../../../src/submissions/index.js';
import {createFillingStep} from '../fleet/filling-fleet.js';
import {createSubmission, sharedQueues} from '../fleet/shared-load.js';
import {VirtualFleet} from '../fleet/virtual-fleet.js';

const {batch} = sharedQueues;

/** Creates a fleet of three workers that schedules by the cost of delay and runs filling tasks only. */
function createFleet(): VirtualFleet {
  return new VirtualFleet({
    seed: 1,
    queues: [batch],
    workers: [0, 1, 2].map(index => ({
      agent: `w${index}`,
      life: `life-${index}`,
      cores: 16,
      rack: 'r0',
    })),
    timing: {scheduling: 'cost'},
  });
}

/** Submissions to `batch` with the times at which they were submitted. */
class Submitter {
  readonly submitted = new Map<string, {readonly at: number; readonly steps: readonly Step[]}>();

  constructor(private readonly fleet: VirtualFleet) {}

  submit(steps: readonly Step[]): string {
    const id = (this.submitted.size + 1).toString(16).padStart(16, '0');
    const {now} = this.fleet;
    this.submitted.set(id, {at: now, steps});
    this.fleet.submit(createSubmission(id, batch.key, steps, {acceptedAtMs: now}));
    return id;
  }

  isInTime(id: string): boolean {
    const entry = this.submitted.get(id);
    if (entry === undefined) return false;
    const endedAt = this.fleet.endedAt.get(id) ?? Number.POSITIVE_INFINITY;
    return endedAt - entry.at <= getObjectiveMs(batch, entry.steps);
  }
}

void t.test('a large submission that is nearly finished is finished before fresh ones', async t => {
  const fleet = createFleet();
  const submitter = new Submitter(fleet);
  // The mean of the queue is that of the mid-size submissions.
  for (let i = 0; i < 8; i += 1) submitter.submit([createFillingStep(12, 1_000)]);
  fleet.run(8_000);
  const large = submitter.submit([
    createFillingStep(36, 3_000),
    {...createFillingStep(24, 3_000), after: [0]},
  ]);
  fleet.run(fleet.now + 4_000);
  while (fleet.now < 26_000) {
    submitter.submit([createFillingStep(12, 2_000)]);
    fleet.run(fleet.now + 500);
  }
  fleet.run(60_000);
  t.ok(submitter.isInTime(large), `the large one ended at ${fleet.endedAt.get(large)}`);
});

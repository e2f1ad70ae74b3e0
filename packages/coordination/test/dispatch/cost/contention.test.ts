import t from 'tap';
import {getIdFraction} from '../../../src/dispatch/index.js';
import {getObjectiveMs, type Step} from '../../../src/submissions/index.js';
import {createFillingStep} from '../fleet/filling-fleet.js';
import {createSubmission, sharedQueues, simulateSharedLoad} from '../fleet/shared-load.js';
import {VirtualFleet} from '../fleet/virtual-fleet.js';

// Under the former rules, 0.37 of the batches are in time: a large part is refused while workers are free.
void t.test('more of a burst of batches is in time while quick submissions flow', async t => {
  const load = {batchesPerSecond: 1.2, burst: 2.6, scheduling: 'cost'} as const;
  const results = [4, 5, 6, 7].map(seed => simulateSharedLoad(seed, load));
  const inTime = results.reduce((sum, result) => sum + result.batchesInTime, 0) / results.length;
  const quick = Math.min(...results.map(result => result.quickInTime));
  t.ok(inTime >= 0.44, `${inTime} of the batches in time`);
  t.ok(quick >= 0.95, `${quick} of the quick submissions in time`);
});

const {batch} = sharedQueues;

/** Plays four minutes in which batches, every tenth of them large, need more than all processors. */
function playSizes(): {readonly largest: number; readonly all: number} {
  const fleet = new VirtualFleet({
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
  const submitted: Array<{id: string; at: number; isLarge: boolean; steps: readonly Step[]}> = [];
  while (fleet.now < 240_000) {
    const isLarge = submitted.length % 10 === 5;
    const steps = [isLarge ? createFillingStep(18, 3_000) : createFillingStep(7, 1_500)];
    const id = Math.floor(getIdFraction(`${submitted.length}`) * 2 ** 48)
      .toString(16)
      .padStart(16, '0');
    submitted.push({id, at: fleet.now, isLarge, steps});
    fleet.submit(createSubmission(id, batch.key, steps, {acceptedAtMs: fleet.now}));
    fleet.run(fleet.now + 500);
  }
  fleet.run(280_000);
  const getShare = (set: typeof submitted) =>
    set.filter(({id, at, steps}) => {
      const endedAt = fleet.endedAt.get(id) ?? Number.POSITIVE_INFINITY;
      return endedAt - at <= getObjectiveMs(batch, steps);
    }).length / set.length;
  return {largest: getShare(submitted.filter(({isLarge}) => isLarge)), all: getShare(submitted)};
}

// Under the former rules, none of the largest tenth is in time, and 0.77 of all.
void t.test('the largest tenth is served at least half as often as the whole queue', async t => {
  const {largest, all} = playSizes();
  t.ok(largest >= all / 2, `${largest} of the largest tenth, ${all} of all`);
  t.ok(all >= 0.5, `${all} of all`);
});

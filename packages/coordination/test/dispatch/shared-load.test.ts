import t from 'tap';
import {simulateSharedLoad} from './fleet/shared-load.js';

/** Maximum time in milliseconds for which filling tasks may keep a serving task above its latency target. */
const maxOverTargetMs = 4_000;

for (const seed of [1, 2, 3]) {
  void t.test(
    `filling tasks do not keep serving tasks above their target, seed ${seed}`,
    async t => {
      const result = simulateSharedLoad(seed, {batchesPerSecond: 0.8, burst: 2.2});
      t.ok(
        result.longestOverTargetMs < maxOverTargetMs,
        `${result.longestOverTargetMs} ms above the target`,
      );
      t.ok(result.upShare > 0.99, 'serving tasks keep running');
      t.ok(result.overTargetShare < 0.02, `${result.overTargetShare} of the time above the target`);
    },
  );
}

/** Factors of the loads of serving tasks, with which none of them is over its target by itself. */
const servingLoadFactors = [1, 0.85, 1.15, 0.75, 1.1, 1.15, 0.9];

for (const [seed, batchesPerSecond, burst] of [
  [5, 0.5, 1],
  [5, 0.8, 2.2],
  [16, 0.8, 2.2],
  [27, 0.8, 2.2],
] as const) {
  void t.test(
    `nor those whose load is higher than that of others, seed ${seed}, burst ${burst}`,
    async t => {
      const load = {batchesPerSecond, burst, servingLoadFactors};
      const {longestOverTargetMs} = simulateSharedLoad(seed, load);
      t.ok(longestOverTargetMs < maxOverTargetMs, `${longestOverTargetMs} ms above the target`);
    },
  );
}

const loads = [
  {name: 'a load within capacity', batchesPerSecond: 0.5, burst: 1, batchesInTime: 0.8},
  {name: 'a burst of batches', batchesPerSecond: 0.8, burst: 2.2, batchesInTime: 0.4},
] as const;

for (const {name, batchesInTime, ...load} of loads) {
  void t.test(`enough batches are in time beside serving tasks under ${name}`, async t => {
    const results = [4, 5, 6].map(seed => simulateSharedLoad(seed, load));
    const inTime = results.reduce((sum, result) => sum + result.batchesInTime, 0) / 3;
    const quick = Math.min(...results.map(result => result.quickInTime));
    t.ok(inTime >= batchesInTime, `${inTime} of the batches in time`);
    t.ok(quick >= 0.95, `${quick} of the quick submissions in time`);
  });
}

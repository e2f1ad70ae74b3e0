import t from 'tap';
import {playSharedLoad} from './fleet/shared-load.js';

/** Time in milliseconds for which filling tasks may keep a serving task above its target. */
const longestHarmMs = 4_000;

for (const seed of [1, 2, 3]) {
  void t.test(`filling work does not harm serving tasks for long, seed ${seed}`, async t => {
    const result = playSharedLoad(seed, 0.8, 2.2);
    t.ok(result.longestOverMs < longestHarmMs, `${result.longestOverMs} ms above the target`);
    t.ok(result.atWork > 0.99, 'serving tasks are left at work');
  });
}

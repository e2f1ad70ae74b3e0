import t from 'tap';
import {runInMemory} from '../../src/histories/memory-run.js';
import {getPromiseId, promises} from '../../src/histories/promise.js';

for (const world of ['requests', 'tasks', 'configuration']) {
  void t.test(`simulated histories of ${world} keep all promises under random faults`, async t => {
    for (let seed = 1; seed <= 15; seed++) {
      const run = runInMemory(world, seed, 6);
      t.same(run.violations, [], `seed ${seed}, ${run.faults.join(' ')}`);
    }
  });
}

void t.test(
  'promises are numbered as in the design document, so that reports name the right one',
  async t => {
    t.equal(getPromiseId('host-limits'), 'P1');
    t.equal(getPromiseId('configuration-in-force'), 'P9');
    t.equal(promises.length, 9);
  },
);

void t.test(
  'an unknown world throws, so that a run with a misspelt name does not count as passed',
  async t => {
    t.throws(() => runInMemory('nothing', 1, 1), RangeError);
  },
);

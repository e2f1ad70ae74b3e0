import t from 'tap';
import {FinishedTasks} from '../../src/submissions/index.js';

void t.test(
  'finished tasks are restored from their stored form, so that a new owner does not run them again',
  async t => {
    const tasks = new FinishedTasks();
    for (const [occurrence, step, index] of [
      [0, 0, 0],
      [0, 0, 35],
      [2, 1, 7],
    ] as const) {
      t.ok(tasks.add(occurrence, step, index));
      t.notOk(tasks.add(occurrence, step, index), 'a task that finishes twice counts once');
    }
    const restored = FinishedTasks.fromRecord(tasks.toRecord());
    t.ok(restored.has(0, 0, 35));
    t.ok(restored.has(2, 1, 7));
    t.notOk(restored.has(0, 0, 34));
    t.equal(restored.getCount(0, 0), 2);
  },
);

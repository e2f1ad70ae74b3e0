import type {QueueBacklog} from '@chervilbeam/coordination';
import fc from 'fast-check';
import t from 'tap';
import {BacklogDecoder, BacklogEncoder} from '../../src/dispatch/index.js';

const backlog: QueueBacklog = {
  queue: 'a.example/proofs/',
  group: 'press/1',
  pending: 0,
  waitMs: 0,
  fillWaitMs: 0,
  runTimeFactor: 1,
  cores: 16,
};

void t.test('only changes are sent after the first message', t => {
  const encoder = new BacklogEncoder();
  const queues = Array.from({length: 40}, (_, index) => ({...backlog, queue: `queue ${index}`}));
  t.equal(encoder.encode(queues).queues.length, queues.length);
  t.match(encoder.encode(queues), {keys: [], groups: [], queues: [], removed: []}, 'unchanged');
  const busy = queues.map(queue => ({...queue, waitMs: 500}));
  t.match(encoder.encode(busy), {groups: [[0, 500, 0, 16]], queues: []}, 'a wait of all queues');
  t.end();
});

/** Backlogs as the dispatcher makes them: equal waits and cores within a group. */
const backlogs = fc
  .tuple(
    fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e'), {maxLength: 5}),
    fc.array(fc.nat(3), {minLength: 5, maxLength: 5}),
    fc.array(fc.nat(2), {minLength: 2, maxLength: 2}),
  )
  .map(([queues, pending, waits]) =>
    queues.map((queue, index): QueueBacklog => {
      const group = queue < 'c' ? 0 : 1;
      const waitMs = waits[group] ?? 0;
      return {...backlog, queue, group: `${group}`, pending: pending[index] ?? 0, waitMs};
    }),
  );

void t.test('the decoder restores the backlogs after any series of changes', t => {
  fc.assert(
    fc.property(fc.array(backlogs, {maxLength: 12}), series => {
      const encoder = new BacklogEncoder();
      const decoder = new BacklogDecoder();
      for (const current of series) {
        const decoded = decoder.decode(encoder.encode(current));
        const byName = (a: QueueBacklog, b: QueueBacklog) => a.queue.localeCompare(b.queue);
        const expected = [...current].sort(byName).map(({group: _, ...rest}) => rest);
        const actual = [...decoded].sort(byName).map(({group: _, ...rest}) => rest);
        if (JSON.stringify(actual) !== JSON.stringify(expected)) return false;
      }
      return true;
    }),
    {seed: 7},
  );
  t.end();
});

import t from 'tap';
import {FairQueue} from '../../src/admission/fair-queue.js';
import type {Urgency} from '../../src/messages/identity.js';

interface Case {
  /** Failure that the case guards against. */
  readonly guards: string;
  /** Urgency, guaranteed share and number of queued requests, by class. */
  readonly classes: Readonly<Record<string, readonly [Urgency, number, number]>>;
  readonly takes: number;
  /** Time between takes; by default long enough for the average of the requests in flight to converge. */
  readonly gapMs?: number;
  /** Expected number of requests taken, by class. */
  readonly taken: Readonly<Record<string, number>>;
}

const cases: Case[] = [
  {
    guards: 'a flood of urgent requests starves background requests within their guaranteed share',
    classes: {alert: ['critical', 1, 50], proof: ['background', 3, 50]},
    takes: 8,
    taken: {alert: 5, proof: 3},
  },
  {
    guards: 'a flood of background requests takes the guaranteed share of urgent ones',
    classes: {proof: ['background', 1, 50], lookup: ['urgent', 4, 4]},
    takes: 8,
    taken: {proof: 4, lookup: 4},
  },
  {
    guards: 'the unused share of a class is not available to others',
    classes: {lookup: ['urgent', 6, 1], proof: ['background', 0, 9]},
    takes: 8,
    taken: {lookup: 1, proof: 7},
  },
  {
    guards: 'unused share is given to a less urgent class first',
    classes: {watch: ['normal', 0, 9], proof: ['background', 0, 9]},
    takes: 6,
    taken: {watch: 6, proof: 0},
  },
  {
    guards: 'one of two equal classes takes all unused share',
    classes: {one: ['normal', 0, 20], two: ['normal', 0, 20]},
    takes: 10,
    taken: {one: 5, two: 5},
  },
  {
    guards:
      'a burst of a class whose average is within its share waits behind a flood of urgent requests',
    classes: {alert: ['critical', 1, 50], lookup: ['urgent', 4, 7]},
    takes: 9,
    gapMs: 0,
    taken: {alert: 2, lookup: 7},
  },
  {
    guards: 'a flood takes all slots as a burst before its average has risen',
    classes: {alert: ['critical', 2, 50], proof: ['background', 6, 50]},
    takes: 16,
    gapMs: 0,
    taken: {alert: 4, proof: 12},
  },
];

void t.test(
  'the queue serves guaranteed shares first, then by urgency, then by fair queueing',
  async t => {
    for (const testCase of cases) {
      const queue = new FairQueue<{key: string}>();
      for (const [key, [urgency, guaranteed, count]] of Object.entries(testCase.classes)) {
        queue.setClass(key, {urgency, guaranteed, weight: 1});
        for (let i = 0; i < count; i += 1) queue.push(key, {key}, 0, 1000, 0);
      }
      const taken = Object.fromEntries(Object.keys(testCase.classes).map(key => [key, 0]));
      for (let i = 0; i < testCase.takes; i += 1) {
        const at = 1 + i * (testCase.gapMs ?? 1000);
        taken[queue.dequeue(at, () => true)!.item.key]! += 1;
      }
      t.same(taken, testCase.taken, testCase.guards);
    }
  },
);

const background = {urgency: 'background', guaranteed: 0, weight: 1} as const;

void t.test('the queue is bounded by waiting time, number of requests and bytes', async t => {
  const queue = new FairQueue<string>({maxItemsPerClass: 3, maxBytes: 100});
  queue.setClass('proof', background);
  t.ok(queue.push('proof', 'first', 0, 1000, 60), 'a request that fits is refused');
  t.notOk(queue.push('proof', 'large', 0, 1000, 60), 'queued bodies exceed the bound');
  queue.push('proof', 'second', 0, 50, 0);
  queue.push('proof', 'third', 0, 1000, 0);
  t.notOk(queue.push('proof', 'fourth', 0, 1000, 0), 'the number of requests is unbounded');
  t.same(queue.shed(90), [], 'a burst is shed before the queue is standing');
  t.same(
    queue.shed(101),
    ['first', 'second', 'third'],
    'requests wait in a standing queue for too long',
  );
  t.equal(queue.getSize(), 0, 'shed requests stay in the queue');
});

void t.test(
  'a request is not shed because another one in its queue passed its deadline',
  async t => {
    const queue = new FairQueue<string>();
    queue.setClass('proof', background);
    queue.push('proof', 'late', 0, 10, 0);
    queue.push('proof', 'fresh', 5, 1000, 0);
    t.same(queue.shed(20), ['late']);
    t.ok(queue.remove('fresh'), 'a request before its deadline was removed');
  },
);

void t.test(
  'a flooded class refuses requests on arrival, and accepts them again after the flood',
  async t => {
    const queue = new FairQueue<object>();
    queue.setClass('proof', background);
    const run = (fromMs: number, toMs: number, arrivals: number) => {
      let kept = 0;
      for (let at = fromMs; at < toMs; at += 10) {
        queue.shed(at);
        for (let i = 0; i < arrivals; i += 1) {
          if (queue.isShedding('proof', at)) continue;
          if (queue.push('proof', {}, at, at + 2000, 0)) kept += 1;
        }
        if (queue.dequeue(at, () => true)) queue.release('proof', at);
      }
      return kept;
    };
    run(0, 500, 20);
    const kept = run(500, 1500, 20);
    t.ok(
      kept < 500,
      `${kept} of 2000 requests of a flood are queued, most of which are shed later`,
    );
    run(1500, 2000, 1);
    t.equal(run(2000, 3000, 1), 100, 'requests are refused after the end of the flood');
  },
);

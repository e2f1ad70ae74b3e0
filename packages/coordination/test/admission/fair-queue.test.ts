import t from 'tap';
import {FairQueue} from '../../src/admission/fair-queue.js';
import type {Urgency} from '../../src/messages/identity.js';

interface Case {
  readonly guards: string;
  /** Classes with urgency, guaranteed share and number of queued requests. */
  readonly classes: Readonly<Record<string, readonly [Urgency, number, number]>>;
  readonly takes: number;
  /** Time between takes; long enough for the average use to follow unless given. */
  readonly gapMs?: number;
  /** Requests taken of each class. */
  readonly taken: Readonly<Record<string, number>>;
}

const cases: Case[] = [
  {
    guards: 'a flood of urgent work starves the granted background work',
    classes: {alert: ['critical', 1, 50], proof: ['background', 3, 50]},
    takes: 8,
    taken: {alert: 5, proof: 3},
  },
  {
    guards: 'a flood of background work takes the share of urgent work',
    classes: {proof: ['background', 1, 50], lookup: ['urgent', 4, 4]},
    takes: 8,
    taken: {proof: 4, lookup: 4},
  },
  {
    guards: 'idle share is not lent',
    classes: {lookup: ['urgent', 6, 1], proof: ['background', 0, 9]},
    takes: 8,
    taken: {lookup: 1, proof: 7},
  },
  {
    guards: 'idle share is lent without regard to urgency',
    classes: {watch: ['normal', 0, 9], proof: ['background', 0, 9]},
    takes: 6,
    taken: {watch: 6, proof: 0},
  },
  {
    guards: 'one of two equal classes takes all of the lent share',
    classes: {one: ['normal', 0, 20], two: ['normal', 0, 20]},
    takes: 10,
    taken: {one: 5, two: 5},
  },
  {
    guards: 'a burst within the grant on average waits behind a flood of urgent work',
    classes: {alert: ['critical', 1, 50], lookup: ['urgent', 4, 7]},
    takes: 9,
    gapMs: 0,
    taken: {alert: 2, lookup: 7},
  },
  {
    guards: 'a flood within its first moments takes all slots as a burst',
    classes: {alert: ['critical', 2, 50], proof: ['background', 6, 50]},
    takes: 16,
    gapMs: 0,
    taken: {alert: 4, proof: 12},
  },
];

void t.test('the queue serves grants first, then urgency, then fairly', async t => {
  for (const c of cases) {
    const queue = new FairQueue<{key: string}>();
    for (const [key, [urgency, guaranteed, count]] of Object.entries(c.classes)) {
      queue.setClass(key, {urgency, guaranteed, weight: 1});
      for (let i = 0; i < count; i += 1) queue.push(key, {key}, 0, 1000, 0);
    }
    const taken = Object.fromEntries(Object.keys(c.classes).map(key => [key, 0]));
    for (let i = 0; i < c.takes; i += 1) {
      const at = 1 + i * (c.gapMs ?? 1000);
      taken[queue.take(at, () => true)!.item.key]! += 1;
    }
    t.same(taken, c.taken, c.guards);
  }
});

const background = {urgency: 'background', guaranteed: 0, weight: 1} as const;

void t.test('the queue is bounded by time, number and bytes', async t => {
  const queue = new FairQueue<string>({maxItemsPerClass: 3, maxBytes: 100});
  queue.setClass('proof', background);
  t.ok(queue.push('proof', 'first', 0, 1000, 60), 'a request that fits is refused');
  t.notOk(queue.push('proof', 'large', 0, 1000, 60), 'queued bodies exceed the bound');
  queue.push('proof', 'second', 0, 50, 0);
  queue.push('proof', 'third', 0, 1000, 0);
  t.notOk(queue.push('proof', 'fourth', 0, 1000, 0), 'the number of requests is unbounded');
  t.same(queue.shed(90), [], 'a burst is shed before the queue has stood');
  t.same(queue.shed(101), ['first', 'second', 'third'], 'requests stand in the queue for long');
  t.equal(queue.getSize(), 0, 'shed requests stay in the queue');
});

void t.test('a request beside another with a passed deadline is not shed with it', async t => {
  const queue = new FairQueue<string>();
  queue.setClass('proof', background);
  queue.push('proof', 'late', 0, 10, 0);
  queue.push('proof', 'fresh', 5, 1000, 0);
  t.same(queue.shed(20), ['late']);
  t.ok(queue.remove('fresh'), 'the fresh request is gone');
});

void t.test('a flooded class refuses on arrival, and again accepts after the flood', async t => {
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
      if (queue.take(at, () => true)) queue.release('proof', at);
    }
    return kept;
  };
  run(0, 500, 20);
  const kept = run(500, 1500, 20);
  t.ok(kept < 500, `${kept} of 2000 flooded requests are kept first, most to be shed later`);
  run(1500, 2000, 1);
  t.equal(run(2000, 3000, 1), 100, 'requests are refused after the end of the flood');
});

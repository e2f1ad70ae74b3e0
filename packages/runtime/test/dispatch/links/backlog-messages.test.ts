import {
  type AcceptedMemory,
  type CostBacklogs,
  type GroupBacklog,
  isUnusedQueue,
  QueueBacklogs,
  type QueueState,
  type WaitingCurve,
} from '@chervilbeam/coordination';
import {encode} from 'cbor-x';
import fc from 'fast-check';
import t from 'tap';
import {BacklogDecoder, BacklogEncoder} from '../../../src/dispatch/index.js';

const group: GroupBacklog = {group: 'press/1', waitMs: 0, fillWaitMs: 0, cores: 16};

function createQueueState(queue: string, pending: number): QueueState {
  return {queue, pending, runTimeFactor: 1};
}

void t.test('only changes are sent after the first message', t => {
  const encoder = new BacklogEncoder();
  const queues = Array.from({length: 40}, (_, index) => createQueueState(`queue ${index}`, 1));
  encoder.update(new QueueBacklogs([group], queues));
  t.equal(encoder.getSnapshot().queues.length, queues.length);
  t.same(encoder.update(new QueueBacklogs([group], queues)), {
    kind: 'queue-backlogs',
    groups: [],
    queues: [],
  });
  t.match(encoder.update(new QueueBacklogs([{...group, waitMs: 500}], queues)), {
    groups: [['press/1', 500, 0, 16]],
    queues: [],
  });
  t.match(encoder.update(new QueueBacklogs([group], queues.slice(1))), {
    queues: [['queue 0', 0, 1000]],
  });
  t.end();
});

function createMemory(maxBytes: number): AcceptedMemory {
  return {
    small: {usedBytes: 12_345, maxBytes},
    large: {usedBytes: 54_321, maxBytes: maxBytes / 2},
  };
}

const memories = [
  {name: 'limited', memory: createMemory(40_000_000), decoded: true},
  {name: 'without limit', memory: createMemory(Infinity), decoded: false},
  {name: 'unknown, as from an older version', memory: undefined, decoded: false},
];
for (const {name, memory, decoded} of memories) {
  void t.test(`memory of the owner: ${name}`, async t => {
    const encoder = new BacklogEncoder();
    const message = encoder.update(new QueueBacklogs([group], [], memory));
    for (const received of [message, encoder.getSnapshot()]) {
      t.same(new BacklogDecoder().decode(received).memory, decoded ? memory : undefined);
    }
  });
}

function createCurve(points: number, wait: number): WaitingCurve {
  return {
    cores: 1_400,
    urgentWaitMs: 120,
    points: Array.from({length: points}, (_, index) => ({
      rank: 60 + index,
      waitMs: wait * (index + 1),
      lossPerSecond: 1.25,
    })),
  };
}

function createCost(points: number, wait: number): CostBacklogs {
  const work = {meanWork: 185_000, largeWork: 260_000, largestWork: Infinity};
  return {
    groups: [
      {group: 'press/1', reserving: createCurve(points, wait), filling: createCurve(points, wait)},
    ],
    queues: [{queue: 'a', ...work, largeShare: 0, largestShare: 0.25}],
  };
}

// An entry that decides by an outdated curve refuses work while workers are free.
void t.test('waiting work by density survives any change', t => {
  const encoder = new BacklogEncoder();
  const decoder = new BacklogDecoder();
  for (const cost of [createCost(6, 500), createCost(6, 900), createCost(2, 900), undefined]) {
    const message = encoder.update(new QueueBacklogs([group], [], undefined, cost));
    t.same(decoder.decode(message).cost, cost);
    t.same(new BacklogDecoder().decode(encoder.getSnapshot()).cost, cost);
  }
  t.end();
});

void t.test('unchanged waiting work is not sent again', t => {
  const encoder = new BacklogEncoder();
  encoder.update(new QueueBacklogs([group], [], undefined, createCost(6, 500)));
  const message = encoder.update(new QueueBacklogs([group], [], undefined, createCost(6, 500)));
  t.same(message.cost, {groups: [], queues: []});
  t.end();
});

/** Largest message in bytes for one group whose waiting work has changed. */
const maxGroupMessageBytes = 250;

void t.test('the waiting work of a group makes a small message', t => {
  const encoder = new BacklogEncoder();
  encoder.update(new QueueBacklogs([group], [], undefined, createCost(6, 500)));
  const changed = {...group, waitMs: 12_345, fillWaitMs: 54_321};
  const message = encoder.update(new QueueBacklogs([changed], [], undefined, createCost(6, 9_999)));
  const {length} = encode(message);
  t.ok(length <= maxGroupMessageBytes, `${length} bytes`);
  t.end();
});

/** Largest message in bytes that a new owner sends to each of the other entries. */
const maxFirstMessageBytes = 5_000;

void t.test('the first message holds the queues in use, not all that are configured', t => {
  const encoder = new BacklogEncoder();
  const groups = Array.from({length: 24}, (_, index) => ({...group, group: `service-${index}/1`}));
  const queues = Array.from({length: 60}, (_, index) =>
    createQueueState(`team-${index}.example/proofs/late/`, 2),
  );
  encoder.update(new QueueBacklogs(groups, queues));
  const {length} = encode(encoder.getSnapshot());
  t.ok(length <= maxFirstMessageBytes, `${length} bytes`);
  t.end();
});

/** Series of backlogs as the dispatcher makes them. */
const backlogs = fc
  .tuple(
    fc.uniqueArray(fc.constantFrom('press/0', 'press/1', 'other/0')),
    fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e')),
    fc.array(fc.nat(3), {minLength: 5, maxLength: 5}),
  )
  .map(
    ([groups, queues, numbers]) =>
      new QueueBacklogs(
        groups.map((name, index) => ({...group, group: name, waitMs: numbers[index] ?? 0})),
        queues.map((name, index) => createQueueState(name, numbers[index] ?? 0)),
      ),
  );

/** Returns the backlogs in a form that does not depend on the order of the rows. */
function normalize({groups, queues}: QueueBacklogs): string {
  const rows = [...groups, ...queues.filter(queue => !isUnusedQueue(queue))];
  return rows
    .map(row => JSON.stringify(row))
    .sort()
    .join();
}

void t.test('the decoders restore the backlogs after any series of changes', t => {
  fc.assert(
    fc.property(fc.array(backlogs, {maxLength: 12}), fc.nat(11), (series, joinsAt) => {
      const encoder = new BacklogEncoder();
      const early = new BacklogDecoder();
      const late = new BacklogDecoder();
      return series.every((current, index) => {
        const changes = encoder.update(current);
        const results = [early.decode(changes)];
        if (index >= joinsAt) {
          results.push(late.decode(index === joinsAt ? encoder.getSnapshot() : changes));
        }
        return results.every(result => normalize(result) === normalize(current));
      });
    }),
    {seed: 7},
  );
  t.end();
});

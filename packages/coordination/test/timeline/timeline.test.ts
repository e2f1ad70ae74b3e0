import fc from 'fast-check';
import t from 'tap';
import {
  getStamp,
  getStampTime,
  HybridClock,
  mergeTimelines,
  TimelineBuffer,
  toTimelineRecord,
  toTraceFile,
} from '../../src/timeline/index.js';

const wallMs = Date.UTC(2026, 11, 4);

void t.test(
  'an event never sorts before its cause, even with clocks that differ by seconds',
  async t => {
    const hops = fc.array(fc.record({to: fc.nat(3), skewMs: fc.integer({min: -5000, max: 5000})}));
    fc.assert(
      fc.property(hops, list => {
        const clocks = Array.from({length: 4}, () => new HybridClock());
        let last = 0;
        for (const {to, skewMs} of list) {
          const clock = clocks[to] as HybridClock;
          clock.receive(last, wallMs + skewMs);
          const stamp = clock.next(wallMs + skewMs);
          if (stamp <= last) throw new Error(`${stamp} after ${last}`);
          last = stamp;
        }
      }),
      {seed: 5, numRuns: 200},
    );
    t.pass('stamps increase along every chain of messages');
  },
);

void t.test(
  'stamps are exact integers until 2080, so that none is rounded when converted back to the time',
  async t => {
    for (const time of [wallMs, Date.UTC(2080, 0, 1)]) {
      t.ok(Number.isSafeInteger(getStamp(time)));
      t.equal(Math.floor(getStampTime(getStamp(time) + 7)), time);
    }
  },
);

void t.test('a clock that is far ahead does not advance the others', async t => {
  const clock = new HybridClock();
  clock.receive(getStamp(wallMs + 3_600_000), wallMs);
  clock.receive(Number.NaN, wallMs);
  t.equal(clock.refused, 1);
  t.equal(clock.next(wallMs), getStamp(wallMs));
});

void t.test('a full buffer drops the oldest events and keeps the rest in order', async t => {
  const buffer = new TimelineBuffer('a', 5);
  for (let index = 1; index <= 12; index++) {
    buffer.record({subject: 'request', id: `r${index % 2}`, step: `s${index}`}, index);
  }
  t.equal(buffer.size, 5);
  t.same(
    buffer.select().map(event => event.stamp),
    [8, 9, 10, 11, 12],
  );
  t.same(
    buffer.select({request: 'r1'}).map(event => event.stamp),
    [9, 11],
  );
});

const records = [
  {record: {kind: 'started', task: 'proofs/3', host: 'h1'}, subject: 'task', id: 'proofs/3'},
  {record: {kind: 'opened', workload: 'proofs'}, subject: 'task', id: 'proofs'},
  {record: {kind: 'ownership', detail: 'owner'}, subject: 'process', id: ''},
  {record: {kind: 'in-force', version: 3}, subject: 'configuration', id: '3'},
  {record: {subject: 'request' as const, id: 'x.1', step: 'shed'}, subject: 'request', id: 'x.1'},
];

void t.test('records of all reducers are found by task, workload, version or request', async t => {
  const buffer = new TimelineBuffer('a');
  records.forEach(({record, subject, id}, index) => {
    t.match(toTimelineRecord(record), {subject, id});
    buffer.record(record, index);
  });
  t.equal(buffer.select({task: 'proofs'}).length, 2, 'a workload finds all of its tasks');
  t.equal(buffer.select({task: 'proofs/3'}).length, 1);
  t.equal(buffer.select({version: 3}).length, 1);
  t.equal(buffer.select({request: 'x.1'}).length, 1);
});

void t.test(
  'merged events are sorted, without duplicates, and give a trace with paired span ends',
  async t => {
    const [a, b] = ['a', 'b'].map(name => new TimelineBuffer(name)) as [
      TimelineBuffer,
      TimelineBuffer,
    ];
    const stamp = getStamp(wallMs);
    a.record({subject: 'request', id: 'r', step: 'received'}, stamp);
    b.record({subject: 'request', id: 'r', step: 'begun'}, stamp + 4096);
    a.record({subject: 'request', id: 'r', step: 'answered'}, stamp + 8192);
    const events = mergeTimelines([a.select(), b.select(), a.select()]);
    t.same(
      events.map(event => event.step),
      ['received', 'begun', 'answered'],
    );
    const {traceEvents} = toTraceFile(events);
    t.same(
      traceEvents.filter(event => event.ph === 'b').length,
      traceEvents.filter(event => event.ph === 'e').length,
    );
    t.equal(Math.max(...traceEvents.map(event => event.ts)), 2000, 'microseconds from the first');
    t.same(toTraceFile([]).traceEvents, []);
  },
);

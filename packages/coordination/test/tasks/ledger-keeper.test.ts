import t from 'tap';
import type {CellSchedulerEffect} from '../../src/tasks/events.js';
import {ItemSet} from '../../src/tasks/ledger/item-set.js';
import {LedgerKeeper} from '../../src/tasks/ledger/ledger-keeper.js';
import {parseLedgerRecord, type LedgerRecord} from '../../src/tasks/ledger/ledger-record.js';

function getWrite(effects: readonly CellSchedulerEffect[]) {
  const write = effects.find(effect => effect.kind === 'write-ledger');
  if (!write) throw new Error('no write-ledger effect');
  return write;
}

const earlierRecord: LedgerRecord = {
  format: 1,
  term: 3,
  sequence: 9,
  workloads: {proofs: {finished: '3', done: false}},
  tasks: {'proofs/2': {checkpoint: 'c2', attempt: 7, evictions: 1}},
};

void t.test(
  'a new owner relies on the ledger only after its first write, because a late write of the previous owner may precede it',
  async t => {
    const keeper = new LedgerKeeper();
    keeper.begin(5, 0);
    const claim = getWrite(keeper.onRead(earlierRecord, 40, 10).effects);
    t.notOk(keeper.ready, 'a write of the previous owner could still arrive');
    t.equal(claim.expectedRevision, 40);
    t.same(claim.record.workloads, earlierRecord.workloads);
    const late = {
      ...earlierRecord,
      sequence: 10,
      workloads: {proofs: {finished: '7', done: false}},
    };
    keeper.onWritten(claim.sequence, 'conflict', 0, 20);
    const secondClaim = getWrite(keeper.onRead(late, 41, 30).effects);
    t.ok(keeper.isFinished('proofs', 2), 'the late write of the previous owner is loaded');
    t.ok(keeper.onWritten(secondClaim.sequence, 'written', 42, 40).claimed);
    t.ok(keeper.ready);
  },
);

const lost = [
  {name: 'took effect', tookEffect: true},
  {name: 'did not take effect', tookEffect: false},
];

for (const {name, tookEffect} of lost) {
  void t.test(
    `a report is acknowledged once, after it is stored, when a write without an answer ${name}`,
    async t => {
      const keeper = new LedgerKeeper();
      keeper.begin(5, 0);
      const claim = getWrite(keeper.onRead(earlierRecord, 40, 0).effects);
      keeper.onWritten(claim.sequence, 'written', 41, 0);
      keeper.recordFinished('proofs', 2, 8);
      keeper.acknowledgeAfterWrite({host: 'host-0', task: 'proofs/2', attempt: 8});
      const write = getWrite(keeper.flush(2_000));
      t.equal(keeper.onWritten(write.sequence, 'unknown', 0, 3_000).acknowledgements.length, 0);
      const read = tookEffect
        ? {record: write.record, revision: 42}
        : {record: claim.record, revision: 41};
      let progress = keeper.onRead(read.record, read.revision, 3_010);
      if (!tookEffect) {
        const again = getWrite(progress.effects);
        t.equal(progress.acknowledgements.length, 0, 'not acknowledged before it is in the ledger');
        progress = keeper.onWritten(again.sequence, 'written', 43, 3_020);
      }
      t.equal(progress.acknowledgements.length, 1);
    },
  );
}

void t.test('an owner that reads a higher term gives up the ledger', async t => {
  const keeper = new LedgerKeeper();
  keeper.begin(2, 0);
  t.ok(keeper.onRead(earlierRecord, 40, 10).deposed);
  t.same(keeper.flush(10_000), []);
});

void t.test(
  'finished items are unchanged after conversion to text and back, so that none is lost or added',
  async t => {
    const items = new ItemSet();
    for (const index of [0, 3, 4, 17, 18_999]) items.add(index);
    const read = ItemSet.fromText(items.toText());
    t.equal(read.size, 5);
    t.ok(read.has(18_999));
    t.notOk(read.has(1));
  },
);

void t.test('an invalid ledger record is refused with the location of each problem', async t => {
  t.ok(parseLedgerRecord(earlierRecord).isOk());
  const damaged = {...earlierRecord, term: 'x', tasks: {'proofs/2': {evictions: 1}}};
  const places = parseLedgerRecord(damaged)
    ._unsafeUnwrapErr()
    .map(finding => finding.place);
  t.same(places, ['term', 'tasks.proofs/2']);
  t.match(parseLedgerRecord(damaged)._unsafeUnwrapErr()[1], {value: '{"evictions":1}'});
});

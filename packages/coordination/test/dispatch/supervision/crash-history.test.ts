import t from 'tap';
import {CrashHistory, getCrashTiming} from '../../../src/dispatch/supervision/crash-history.js';

const timings = [
  {ageMs: 0, expected: 'early'},
  {ageMs: 249, expected: 'early'},
  {ageMs: 250, expected: 'late'},
  {ageMs: 9_999, expected: 'late'},
  {ageMs: 10_000, expected: undefined},
];

for (const {ageMs, expected} of timings) {
  void t.test(`a crash under a run of ${ageMs} ms counts as ${expected}`, async t => {
    t.equal(getCrashTiming(ageMs), expected);
  });
}

const histories = [
  {name: 'no crash', early: [], late: [], isSuspect: false},
  {name: 'an early crash', early: ['a@1'], late: [], isSuspect: true},
  {name: 'a late crash', early: [], late: ['a@1'], isSuspect: false},
  {name: 'two late crashes', early: [], late: ['a@1', 'b@1'], isSuspect: false},
  {name: 'three late crashes', early: [], late: ['a@1', 'b@1', 'c@1'], isSuspect: true},
];

for (const {name, early, late, isSuspect} of histories) {
  void t.test(`${name}: the task is ${isSuspect ? '' : 'not '}a suspect`, async t => {
    const history = new CrashHistory(early, late);
    t.equal(history.isSuspect, isSuspect);
    t.same(history.lives, [early, late], 'is stored as it was read');
  });
}

void t.test('a crash that is reported twice counts once', async t => {
  const history = new CrashHistory();
  history.add('a@1', 'early');
  history.add('a@1', 'late');
  t.equal(history.count, 1);
  t.ok(history.delete('a@1'));
  t.equal(history.count, 0);
});

const outlived = [
  {name: 'a run of 249 ms', early: ['a@1'], late: ['b@1'], ageMs: 249, left: 2},
  {name: 'a run of 250 ms', early: ['a@1'], late: ['b@1'], ageMs: 250, left: 1},
  {
    name: 'a run of 250 ms after late crashes',
    early: [],
    late: ['a@1', 'b@1', 'c@1'],
    ageMs: 250,
    left: 3,
  },
  {name: 'a run of 10 s', early: ['a@1'], late: ['b@1', 'c@1'], ageMs: 10_000, left: 0},
];

for (const {name, early, late, ageMs, left} of outlived) {
  void t.test(`${name} leaves ${left} crashes`, async t => {
    const history = new CrashHistory(early, late);
    const {count} = history;
    t.equal(history.clearOutlived(ageMs), left < count);
    t.equal(history.count, left);
  });
}

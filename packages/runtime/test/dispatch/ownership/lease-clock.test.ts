import t from 'tap';
import {LeaseClock} from '../../../src/dispatch/index.js';

const cases = [
  {
    name: 'time that passes on both clocks counts once',
    steady: 1_000,
    wall: 1_000,
    expected: 1_000,
  },
  {
    name: 'the time of a suspension counts, because leases keep running out in the store',
    steady: 100,
    wall: 5_100,
    expected: 5_100,
  },
  {
    name: 'setting the wall clock back does not extend a lease',
    steady: 1_000,
    wall: -4_000,
    expected: 1_000,
  },
  {
    name: 'small corrections of the wall clock are ignored',
    steady: 1_000,
    wall: 1_050,
    expected: 1_000,
  },
];

for (const {name, steady, wall, expected} of cases) {
  void t.test(name, async t => {
    let times = {steady: 0, wall: 1_000_000};
    const clock = new LeaseClock({now: () => times.steady, wallTime: () => times.wall});
    const before = clock.now();
    times = {steady, wall: 1_000_000 + wall};
    t.equal(clock.now() - before, expected);
  });
}

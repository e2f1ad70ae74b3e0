import t from 'tap';
import {fitSlope, getMedian} from '../../src/capacity/slope.js';

/** Samples a function of the size at each size with two seeds. */
const sample = (value: (size: number) => number, sizes = [100, 200, 400, 800]) =>
  sizes.flatMap(size => [1, 2].map(seed => ({size, value: value(size), seed})));

const cases = [
  {name: 'constant', value: () => 7, shape: 'constant', perUnit: 0},
  {name: 'linear', value: (n: number) => 3 * n, shape: 'linear', perUnit: 3},
  {name: 'square root', value: (n: number) => Math.sqrt(n), shape: 'sublinear'},
  {name: 'quadratic', value: (n: number) => n * n, shape: 'superlinear'},
] as const;

void t.test('growth is classified, so that a quadratic cost is not reported as linear', async t => {
  for (const testCase of cases) {
    const slope = fitSlope(sample(testCase.value));
    t.equal(slope.shape, testCase.shape, testCase.name);
    if ('perUnit' in testCase)
      t.ok(Math.abs(slope.perUnit - testCase.perUnit) < 1e-9, `${testCase.name}: slope`);
  }
});

void t.test('samples at three sizes are refused, as too few for a slope', async t => {
  t.throws(() => fitSlope(sample(n => n, [1, 2, 3])), RangeError);
});

void t.test(
  'the spread uses the largest size only; the median may fall between values',
  async t => {
    const samples = sample(n => n).map(s => ({...s, value: s.value * (s.seed === 1 ? 0.9 : 1.1)}));
    t.ok(Math.abs(fitSlope(samples).spread - 0.1) < 1e-9);
    t.equal(getMedian([3, 1, 2]), 2);
    t.equal(getMedian([4, 1, 2, 3]), 2.5);
  },
);

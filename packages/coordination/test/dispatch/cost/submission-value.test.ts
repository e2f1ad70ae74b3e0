import t from 'tap';
import {
  compareCost,
  getPreference,
  getSubmissionValue,
  getSubmissionWork,
  getValueShare,
  noPreferences,
  type OrderKey,
  QueueWork,
} from '../../../src/dispatch/index.js';
import {createStep} from '../fleet/shared-load.js';

const values = [
  {name: 'a submission of mean work', work: 100, mean: 100, value: 1},
  {name: 'a submission without work', work: 0, mean: 100, value: 0.3},
  {name: 'a submission of twice the mean', work: 200, mean: 100, value: 1.7},
  {name: 'a huge submission has the largest value', work: 1e6, mean: 100, value: 4},
  {name: 'the first submission of a queue', work: 1e6, mean: undefined, value: 1},
];
for (const {name, work, mean, value} of values) {
  void t.test(`value of ${name}`, async t => {
    const statistics = mean === undefined ? undefined : {...noPreferences, meanWork: mean};
    t.ok(Math.abs(getSubmissionValue(work, statistics) - value) < 1e-9);
  });
}

void t.test('a late result keeps a part of its value, and a later one nothing', async t => {
  t.same(
    ([0, 1, 2] as const).map(lateness => getValueShare(lateness)),
    [1, 0.15, 0],
  );
});

void t.test('an accelerator counts as eight processors, and serving tasks as no work', async t => {
  const need = {processors: 1, memoryMb: 0, accelerators: 2, slots: 0};
  const finite = createStep({need, count: 3, estimatedMs: 10});
  const serving = createStep({need, count: 3, estimatedMs: 10, lasting: true});
  t.equal(getSubmissionWork([finite, serving]), 3 * 17 * 10);
});

void t.test('the mean work follows a queue, and one outlier does not dominate it', async t => {
  const work = new QueueWork();
  const getMean = (queue: string) => work.get(queue)?.meanWork ?? Number.NaN;
  t.equal(work.get('a'), undefined);
  for (let i = 0; i < 400; i += 1) work.observe('a', 100);
  work.observe('a', 10_000);
  t.ok(getMean('a') < 150);
  for (let i = 0; i < 400; i += 1) work.observe('a', 1_000);
  t.equal(getMean('a'), 1_000);
  t.equal(work.get('b'), undefined);
});

void t.test('the largest three tenths of a queue are known, and equal sizes have none', async t => {
  const work = new QueueWork();
  for (let i = 0; i < 100; i += 1) work.observe('a', 1 + ((i * 37) % 100));
  t.equal(work.get('a')?.largeWork, 71);
  t.equal(work.get('a')?.largestWork, 91);
  for (let i = 0; i < 100; i += 1) work.observe('b', 5);
  t.equal(work.get('b')?.largeWork, Number.POSITIVE_INFINITY);
});

const base: OrderKey = {priority: 2, lateness: 0, density: 1, slackMs: 5_000};
const orders: ReadonlyArray<{name: string; first: Partial<OrderKey>; second: Partial<OrderKey>}> = [
  {name: 'urgent work that is late', first: {priority: 0, lateness: 1, density: 0.1}, second: {}},
  {name: 'denser work', first: {density: 4}, second: {slackMs: 0}},
  {name: 'work of equal density with less slack', first: {slackMs: 100}, second: {}},
  {name: 'work in time before late work', first: {density: 0.1}, second: {lateness: 1}},
  {name: 'late work before expired work', first: {lateness: 1}, second: {lateness: 2, density: 0}},
  {name: 'serving work', first: {density: Infinity}, second: {density: 1e6, slackMs: 0}},
];
for (const {name, first, second} of orders) {
  void t.test(`order: ${name} goes first`, async t => {
    t.ok(compareCost({...base, ...first}, {...base, ...second}) < 0);
    t.ok(compareCost({...base, ...second}, {...base, ...first}) > 0);
  });
}

void t.test(
  'large submissions that are never in time are preferred, until more than half as many are',
  async t => {
    const work = new QueueWork();
    for (let i = 0; i < 100; i += 1) work.observe('a', 1 + i);
    const getShare = () => work.get('a')?.largestShare ?? Number.NaN;
    for (let i = 0; i < 100; i += 1) work.recordOutcome('a', `${i}`, 10, true);
    t.equal(getShare(), 0);
    for (let i = 0; i < 100; i += 1) {
      const statistics = work.get('a') ?? {...noPreferences, meanWork: 1};
      const isPreferred = getPreference(`large ${i}`, 99, statistics) > 1;
      work.recordOutcome('a', `large ${i}`, 99, isPreferred);
      for (let j = 0; j < 9; j += 1) work.recordOutcome('a', `${i}`, 10, true);
    }
    t.ok(getShare() > 0.5 && getShare() < 0.75, `${getShare()}`);
    const statistics = work.get('a') ?? {...noPreferences, meanWork: 1};
    const preferred = Array.from({length: 1_000}, (_, i) =>
      getPreference(`id ${i}`, 99, statistics),
    );
    const share = preferred.filter(factor => factor > 1).length / 1_000;
    t.ok(Math.abs(share - getShare()) < 0.05, `${share} of the ids`);
    t.equal(getPreference('id', 10, statistics), 1);
  },
);

import t from 'tap';
import {StoreHealth} from '../../../src/dispatch/records/store-health.js';

type Step =
  | {readonly at: number; readonly begin: string}
  | {readonly at: number; readonly end: string; readonly isSuccess: boolean};

const cases: ReadonlyArray<{
  readonly name: string;
  readonly steps: readonly Step[];
  readonly at: number;
  readonly isFailing: boolean;
}> = [
  {name: 'a store that was not called is not failing', steps: [], at: 9_000, isFailing: false},
  {
    name: 'a slow answer is no failure',
    steps: [{at: 0, begin: 'a'}],
    at: 400,
    isFailing: false,
  },
  {
    name: 'a store that does not answer is failing',
    steps: [{at: 0, begin: 'a'}],
    at: 500,
    isFailing: true,
  },
  {
    name: 'a store that refuses calls is failing after some time',
    steps: [
      {at: 0, begin: 'a'},
      {at: 5, end: 'a', isSuccess: false},
    ],
    at: 500,
    isFailing: true,
  },
  {
    name: 'a refusal between successful calls does not count',
    steps: [
      {at: 0, begin: 'a'},
      {at: 5, end: 'a', isSuccess: false},
      {at: 300, begin: 'b'},
      {at: 310, end: 'b', isSuccess: true},
    ],
    at: 700,
    isFailing: false,
  },
  {
    name: 'a lost answer does not count while later calls are answered',
    steps: [
      {at: 0, begin: 'lost'},
      {at: 200, begin: 'b'},
      {at: 205, end: 'b', isSuccess: true},
      {at: 1_200, end: 'lost', isSuccess: false},
    ],
    at: 1_800,
    isFailing: false,
  },
  {
    name: 'the time counts from the first call after the latest success',
    steps: [
      {at: 0, begin: 'a'},
      {at: 10, end: 'a', isSuccess: true},
      {at: 4_000, begin: 'b'},
    ],
    at: 4_400,
    isFailing: false,
  },
  {
    name: 'one answer ends the failure',
    steps: [
      {at: 0, begin: 'a'},
      {at: 1_200, end: 'a', isSuccess: false},
      {at: 2_000, begin: 'b'},
      {at: 2_004, end: 'b', isSuccess: true},
    ],
    at: 2_004,
    isFailing: false,
  },
];

for (const {name, steps, at, isFailing} of cases) {
  void t.test(name, async t => {
    let now = 0;
    const health = new StoreHealth({now: () => now, wallTime: () => now});
    const calls = new Map<string, ReturnType<StoreHealth['begin']>>();
    for (const step of steps) {
      now = step.at;
      if ('begin' in step) calls.set(step.begin, health.begin());
      else health.end(calls.get(step.end) ?? {startedAt: 0}, step.isSuccess);
    }
    now = at;
    t.equal(health.isFailing, isFailing);
  });
}

void t.test('the smallest round trip is that of a call that was answered', async t => {
  let now = 0;
  const health = new StoreHealth({now: () => now, wallTime: () => now});
  t.equal(health.smallestRoundTripMs, undefined);
  const rows: ReadonlyArray<readonly [ms: number, isSuccess: boolean, expected: number]> = [
    [90, true, 90],
    [4, true, 4],
    [1, false, 4],
    [30, true, 4],
  ];
  for (const [ms, isSuccess, expected] of rows) {
    const call = health.begin();
    now += ms;
    health.end(call, isSuccess);
    t.equal(health.smallestRoundTripMs, expected);
  }
});

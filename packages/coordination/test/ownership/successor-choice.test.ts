import t from 'tap';
import {rankSuccessors, type SuccessorCandidate} from '../../src/ownership/successor-choice.js';

function createCandidate(
  address: string,
  fields: Partial<SuccessorCandidate> = {},
): SuccessorCandidate {
  return {address, isAvailable: true, processors: 0.3, roundTripMs: 5, ...fields};
}

const cases: ReadonlyArray<{
  readonly name: string;
  readonly candidates: readonly SuccessorCandidate[];
  readonly expected: readonly string[];
}> = [
  {name: 'nobody answers', candidates: [], expected: []},
  {
    name: 'one is about to leave as well, or is refused by the store',
    candidates: [createCandidate('a', {isAvailable: false}), createCandidate('b')],
    expected: ['b'],
  },
  {
    name: 'one is nearer to the store',
    candidates: [createCandidate('a', {roundTripMs: 64}), createCandidate('b')],
    expected: ['b', 'a'],
  },
  {
    name: 'one is far from the store, but stronger',
    candidates: [createCandidate('a'), createCandidate('b', {processors: 1.35, roundTripMs: 64})],
    expected: ['b', 'a'],
  },
  {
    name: 'the strongest one is about to leave, so that the others do not wait for it',
    candidates: [
      createCandidate('a', {processors: 4, isAvailable: false}),
      createCandidate('b', {roundTripMs: 64}),
      createCandidate('c'),
    ],
    expected: ['c', 'b'],
  },
];

for (const {name, candidates, expected} of cases) {
  void t.test(`the successor of an owner is chosen when ${name}`, async t => {
    t.same(rankSuccessors(candidates), expected);
  });
}

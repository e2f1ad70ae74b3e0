import t from 'tap';
import {type ClaimDelayInputs, getClaimDelayMs} from '../../src/ownership/claim-delay.js';

const near: ClaimDelayInputs = {roundTripMs: 4, processors: 1.35, others: [1.35, 0.3]};

const cases: ReadonlyArray<{
  readonly name: string;
  readonly first: ClaimDelayInputs;
  readonly second: ClaimDelayInputs;
}> = [
  {name: 'near the store before far from it', first: near, second: {...near, roundTripMs: 64}},
  {
    name: 'strong and far before weak and near',
    first: {...near, roundTripMs: 64},
    second: {...near, processors: 0.3, others: [1.35]},
  },
  {
    name: 'who knows the others before who does not',
    first: near,
    second: {...near, others: undefined},
  },
  {
    name: 'weak among weak ones at once',
    first: {...near, processors: 0.3, others: [0.3, 0.27]},
    second: {...near, processors: 0.27, others: [0.5]},
  },
];

for (const {name, first, second} of cases) {
  void t.test(`a vacant ownership is claimed by the entry that is ${name}`, async t => {
    t.ok(getClaimDelayMs(first) < getClaimDelayMs(second));
  });
}

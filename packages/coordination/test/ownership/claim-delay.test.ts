import t from 'tap';
import {
  type ClaimDelayInputs,
  getClaimDelayMs,
  getUsableProcessors,
} from '../../src/ownership/claim-delay.js';

const near: ClaimDelayInputs = {roundTripMs: 4, processors: 1.35, otherProcessors: [1.35, 0.3]};

const cases: ReadonlyArray<{
  readonly name: string;
  readonly first: ClaimDelayInputs;
  readonly second: ClaimDelayInputs;
}> = [
  {name: 'nearer to the store', first: near, second: {...near, roundTripMs: 64}},
  {
    name: 'stronger, even when farther from the store',
    first: {...near, roundTripMs: 64},
    second: {...near, processors: 0.3, otherProcessors: [1.35]},
  },
  {
    name: 'aware of the other entries',
    first: near,
    second: {...near, otherProcessors: undefined},
  },
  {
    name: 'stronger, even when its round trip has not been measured well yet',
    first: {...near, roundTripMs: 1_000},
    second: {...near, processors: 0.3, otherProcessors: [1.35]},
  },
  {
    name: 'done with its two round trips before one that is twice as far away begins',
    first: {...near, roundTripMs: 4 + (2 * 4) / 4},
    second: {...near, roundTripMs: 8},
  },
  {
    name: 'weak but among entries of similar strength',
    first: {...near, processors: 0.3, otherProcessors: [0.3, 0.27]},
    second: {...near, processors: 0.27, otherProcessors: [0.5]},
  },
];

void t.test(
  'an entry with a slow link is weaker than one with fewer processors and a fast link',
  t => {
    t.ok(getUsableProcessors(1.35, 2) < getUsableProcessors(0.3, 200));
    t.equal(getUsableProcessors(0.675, 200), 0.675, 'a fast link is no limit');
    t.end();
  },
);

for (const {name, first, second} of cases) {
  void t.test(`a vacant ownership is claimed first by the entry that is ${name}`, async t => {
    t.ok(getClaimDelayMs(first) < getClaimDelayMs(second));
  });
}

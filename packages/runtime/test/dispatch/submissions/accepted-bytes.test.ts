import t from 'tap';
import {AcceptedBytes} from '../../../src/dispatch/submissions/accepted-bytes.js';

/** A submission of some bytes that is accepted or refused, or the used bytes that the owner states. */
type Step = {readonly reserve: number; readonly isAccepted: boolean} | {readonly used: number};

const maxBytes = 1_000;

const cases: ReadonlyArray<{
  readonly name: string;
  readonly entries: number;
  readonly steps: readonly Step[];
}> = [
  {
    name: 'a submission that fits is accepted although it exceeds the share of one entry',
    entries: 4,
    steps: [{used: 100}, {reserve: 900, isAccepted: true}],
  },
  {
    name: 'a submission that does not fit is refused',
    entries: 1,
    steps: [{used: 100}, {reserve: 901, isAccepted: false}, {reserve: 900, isAccepted: true}],
  },
  {
    name: 'a burst at all entries stays below the limit, because each takes its share of the room',
    entries: 4,
    steps: [
      {used: 200},
      {reserve: 100, isAccepted: true},
      {reserve: 100, isAccepted: true},
      {reserve: 1, isAccepted: false},
    ],
  },
  {
    name: 'what was accepted shortly before the latest figures may be missing from them',
    entries: 1,
    steps: [
      {used: 0},
      {reserve: 600, isAccepted: true},
      {used: 0},
      {reserve: 600, isAccepted: false},
      {used: 0},
      {reserve: 600, isAccepted: true},
    ],
  },
  {
    name: 'without figures, as while there is no owner, an entry stays below the limit too',
    entries: 1,
    steps: [
      {reserve: 400, isAccepted: true},
      {reserve: 400, isAccepted: true},
      {reserve: 400, isAccepted: false},
    ],
  },
  {
    name: 'submissions are accepted again once others have ended',
    entries: 1,
    steps: [
      {used: 1_200},
      {reserve: 1, isAccepted: false},
      {used: 300},
      {reserve: 1, isAccepted: true},
    ],
  },
];

for (const {name, entries, steps} of cases) {
  void t.test(name, async t => {
    const accepted = new AcceptedBytes({maxBytes, getEntryCount: () => entries});
    for (const step of steps) {
      if ('used' in step) accepted.update({usedBytes: step.used, maxBytes});
      else t.equal(accepted.reserve(step.reserve), step.isAccepted);
    }
  });
}

import t from 'tap';
import {decideAdmission, type QueueLevel} from '../../../src/dispatch/index.js';
import {createStep} from '../fleet/shared-load.js';
import {createQueue} from '../fleet/virtual-fleet.js';

const queue = createQueue({name: 'proofs', stretchFactor: 2, targetLatencyMs: 1_000});
const idle: QueueLevel = {
  queue: queue.key,
  pending: 0,
  waitMs: 0,
  fillWaitMs: 0,
  runTimeFactor: 1,
  cores: 16,
};
const steps = [createStep({count: 4, estimatedMs: 2_000})];
const filling = [createStep({count: 4, estimatedMs: 2_000, fills: true})];
const lasting = [createStep({count: 4, lasting: true})];
const flooded = {...idle, waitMs: 60_000};

const cases = [
  {name: 'idle workers take work', steps, level: idle, timed: false, kind: 'accept'},
  {
    name: 'a short backlog is no reason to refuse',
    steps,
    level: {...idle, waitMs: 3_000},
    timed: false,
    kind: 'accept',
  },
  {name: 'hopeless work is refused at once', steps, level: flooded, timed: false, kind: 'refuse'},
  {
    name: 'filling work does not wait for reserved cores',
    steps: filling,
    level: flooded,
    timed: false,
    kind: 'accept',
  },
  {
    name: 'filling work waits for other filling work',
    steps: filling,
    level: {...idle, fillWaitMs: 60_000},
    timed: false,
    kind: 'refuse',
  },
  {
    name: 'work with dates is not judged by the present backlog',
    steps,
    level: flooded,
    timed: true,
    kind: 'accept',
  },
  {
    name: 'serving tasks are not judged by a backlog',
    steps: lasting,
    level: flooded,
    timed: false,
    kind: 'accept',
  },
  {
    name: 'nothing is refused without news of the owner',
    steps,
    level: undefined,
    timed: false,
    kind: 'accept',
  },
] as const;

for (const {name, steps, level, timed, kind} of cases) {
  void t.test(name, async t => {
    const admission = decideAdmission(queue, steps, timed, level);
    t.equal(admission.kind, kind);
    if (admission.kind === 'refuse') t.ok(admission.retryAfterSeconds >= 1, 'tells when to return');
  });
}

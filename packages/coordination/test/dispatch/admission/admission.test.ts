import t from 'tap';
import {decideAdmission, type QueueBacklog} from '../../../src/dispatch/index.js';
import {createStep, createSubmission} from '../fleet/shared-load.js';
import {createQueue, VirtualFleet} from '../fleet/virtual-fleet.js';

const queue = createQueue({name: 'proofs', stretchFactor: 2, targetLatencyMs: 1_000});
const emptyBacklog: QueueBacklog = {
  pending: 0,
  waitMs: 0,
  fillWaitMs: 0,
  runTimeFactor: 1,
  cores: 16,
};
const steps = [createStep({count: 4, estimatedMs: 2_000})];
const filling = [createStep({count: 4, estimatedMs: 2_000, fills: true})];
const lasting = [createStep({count: 4, lasting: true})];
const longBacklog = {...emptyBacklog, waitMs: 60_000};

const cases = [
  {
    name: 'work is accepted when the workers are idle',
    steps,
    backlog: emptyBacklog,
    isTimed: false,
    kind: 'accept',
  },
  {
    name: 'a short backlog does not cause a refusal',
    steps,
    backlog: {...emptyBacklog, waitMs: 3_000},
    isTimed: false,
    kind: 'accept',
  },
  {
    name: 'work that would miss its objective is refused immediately',
    steps,
    backlog: longBacklog,
    isTimed: false,
    kind: 'refuse',
  },
  {
    name: 'filling work is accepted despite a long backlog of other work',
    steps: filling,
    backlog: longBacklog,
    isTimed: false,
    kind: 'accept',
  },
  {
    name: 'filling work that would miss its objective behind other filling work is refused',
    steps: filling,
    backlog: {...emptyBacklog, fillWaitMs: 60_000},
    isTimed: false,
    kind: 'refuse',
  },
  {
    name: 'scheduled work is accepted despite a long current backlog',
    steps,
    backlog: longBacklog,
    isTimed: true,
    kind: 'accept',
  },
  {
    name: 'serving tasks are accepted despite a long backlog',
    steps: lasting,
    backlog: longBacklog,
    isTimed: false,
    kind: 'accept',
  },
  {
    name: 'nothing is refused while the backlog is unknown',
    steps,
    backlog: undefined,
    isTimed: false,
    kind: 'accept',
  },
] as const;

for (const {name, steps, backlog, isTimed, kind} of cases) {
  void t.test(name, async t => {
    const admission = decideAdmission(queue, steps, isTimed, backlog);
    t.equal(admission.kind, kind);
    if (admission.kind === 'refuse')
      t.ok(admission.retryAfterSeconds >= 1, 'the refusal has a retry time');
  });
}

void t.test('urgent work is accepted while serving tasks wait for resources', async t => {
  const urgent = createQueue({name: 'checks', stretchFactor: 1.5, targetLatencyMs: 600});
  const fleet = new VirtualFleet({
    seed: 1,
    queues: [urgent],
    workers: [{agent: 'w', life: 'life', cores: 16, rack: 'r'}],
  });
  const serving = [createStep({count: 20, cores: 3, lasting: true})];
  fleet.submit(createSubmission('0'.repeat(16), urgent.key, serving));
  fleet.run(1_000);
  const check = [createStep({count: 2, cores: 0.2, estimatedMs: 800})];
  fleet.submit(createSubmission('1'.repeat(16), urgent.key, check, {acceptedAtMs: fleet.now}));
  const backlog = fleet.dispatcher.getQueueBacklogs(fleet.now)?.get(urgent);
  t.ok(fleet.countRuns(`${'0'.repeat(16)}.0.0.0`) > 0, 'serving tasks occupy the worker');
  t.equal(decideAdmission(urgent, check, false, backlog).kind, 'accept');
});

import t from 'tap';
import type {CommandOutcome} from '../../src/dispatch/index.js';
import {createStep, createSubmission, sharedQueues} from './fleet/shared-load.js';
import {VirtualFleet} from './fleet/virtual-fleet.js';
import {createWorkers} from './fleet/virtual-worker.js';

const id = '00000000000000a1';

/** Returns the latest start command, which the worker has not answered. */
function getUnansweredStart(fleet: VirtualFleet) {
  const sent = fleet.undelivered.at(-1);
  if (sent === undefined) throw new RangeError('no start command was sent');
  return sent;
}

// A late refusal of a start of the former owner removed a run of its successor, which started the task a second time.
const outcomes: readonly CommandOutcome[] = [
  {kind: 'accepted'},
  {kind: 'refused', reason: 'fenced'},
  {kind: 'refused', reason: 'old-run'},
  {kind: 'refused', reason: 'late'},
  {kind: 'refused', reason: 'room'},
  {kind: 'refused', reason: 'ticket'},
  {kind: 'refused', reason: 'draining'},
  {kind: 'refused', reason: 'spec-unknown'},
  {kind: 'refused', reason: 'busy'},
  {kind: 'refused', reason: 'invalid'},
  {kind: 'refused', reason: 'other-life'},
  {kind: 'stopped', listed: false},
  {kind: 'unknown'},
];

for (const outcome of outcomes) {
  const name = outcome.kind === 'refused' ? `refused: ${outcome.reason}` : outcome.kind;
  void t.test(`a result of the former owner's command is ignored: ${name}`, async t => {
    const fleet = new VirtualFleet({
      seed: 1,
      queues: Object.values(sharedQueues),
      workers: createWorkers(2),
    });
    for (const worker of fleet.workers.values()) worker.isUnresponsive = true;
    fleet.submit(createSubmission(id, sharedQueues.quick.key, [createStep({count: 1})]));
    fleet.run(100);
    const former = getUnansweredStart(fleet);
    fleet.startOwner();
    fleet.run(300);
    const {agent, order} = getUnansweredStart(fleet);
    t.equal(order.order, former.order.order, 'both owners use the same number');
    t.not(order.term, former.order.term);
    const reduce = (term: number) =>
      fleet.dispatcher.reduce(
        {kind: 'message', agent, message: {kind: 'result', order: order.order, term, outcome}},
        fleet.now,
      );
    const effects = reduce(former.order.term).filter(effect => effect.kind !== 'count');
    t.same(effects, [], 'nothing is done about it');
    t.not(reduce(order.term).length, 0, 'the result of its own command is handled');
  });
}

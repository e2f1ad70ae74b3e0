import t from 'tap';
import type {DispatchEffect, DispatchEvent} from '../../../src/dispatch/index.js';
import {createStep, createSubmission, sharedQueues} from '../fleet/shared-load.js';
import {VirtualFleet} from '../fleet/virtual-fleet.js';

function getStarts(effects: readonly DispatchEffect[]): string[] {
  return effects.flatMap(effect =>
    effect.kind === 'send' && effect.message.kind === 'start' ? [effect.message.task] : [],
  );
}

// Guards against filling work that is left out of the rounds, and against urgent work that has to wait for it.
void t.test('a round for reserving tasks leaves filling tasks to the round of all tasks', t => {
  const worker = {agent: 'w0', life: 'life-0', cores: 16, rack: 'r0'};
  const fleet = new VirtualFleet({
    seed: 1,
    queues: Object.values(sharedQueues),
    workers: [worker],
  });
  fleet.run(500);
  const {dispatcher} = fleet;
  const post = (event: DispatchEvent) => getStarts(dispatcher.reduce(event, fleet.now));
  const filling = createStep({fills: true, checkpoints: true, image: 'f'});
  post({
    kind: 'submitted',
    submission: createSubmission('0'.repeat(15) + '1', sharedQueues.batch.key, [filling]),
  });
  post({
    kind: 'submitted',
    submission: createSubmission('0'.repeat(15) + '2', sharedQueues.quick.key, [createStep({})]),
  });
  t.ok(dispatcher.isPlacementDue('reserving'));
  t.same(post({kind: 'place', scope: 'reserving'}), [`${'0'.repeat(15)}2.0.0.0`]);
  t.notOk(dispatcher.isPlacementDue('reserving'), 'the round has been executed');
  t.ok(dispatcher.isPlacementDue('all'), 'filling tasks still wait');
  t.same(post({kind: 'place', scope: 'reserving'}), [], 'nothing has changed since');
  t.same(post({kind: 'place'}), [`${'0'.repeat(15)}1.0.0.0`]);
  t.notOk(dispatcher.isPlacementDue('all'));
  t.end();
});

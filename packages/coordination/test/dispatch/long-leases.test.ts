import t from 'tap';
import {RecoveryBarrier} from '../../src/dispatch/recovery-barrier.js';
import {createStep, createSubmission} from './fleet/shared-load.js';
import {createQueue, VirtualFleet} from './fleet/virtual-fleet.js';

const queue = createQueue({name: 'work', targetLatencyMs: 60_000});
const id = '00000000000000a1';
const task = `${id}.0.0.0`;
/** A lease as the owner grants it, and the longest that a worker accepts, in milliseconds. */
const leaseMs = 6_000;
const maxLeaseMs = 10_000;

const barrierCases: ReadonlyArray<{
  readonly name: string;
  readonly hasLongLease?: boolean;
  readonly at: number;
  readonly isOpen: boolean;
}> = [
  {name: 'a granted lease runs', at: 99, isOpen: false},
  {name: 'a granted lease has expired', at: 100, isOpen: true},
  {
    name: 'a long lease runs although granted ones have expired',
    hasLongLease: true,
    at: 100,
    isOpen: false,
  },
  {name: 'a long lease has expired', hasLongLease: true, at: 200, isOpen: true},
];
for (const {name, hasLongLease, at, isOpen} of barrierCases) {
  void t.test(`recovery: ${name}`, async t => {
    const barrier = new RecoveryBarrier();
    const entry = {agent: 'a', life: 'a@1', ...(hasLongLease && {hasLongLease})};
    barrier.begin([entry], {granted: 1_000, long: 2_000});
    barrier.limit({granted: 100, long: 200});
    t.equal(barrier.isOpen(at), isOpen);
  });
}

// A worker that has started again may have got a deadline of its former incarnation, which it cuts to its longest lease.
for (const isOwnerReplaced of [false, true]) {
  const owner = isOwnerReplaced ? 'by the next owner' : 'by the same owner';
  for (const isReborn of [false, true]) {
    const worker = isReborn ? 'a worker that has started again' : 'a worker in its first life';
    void t.test(`a task of ${worker} that is cut off is started again ${owner}`, async t => {
      const fleet = new VirtualFleet({
        seed: 1,
        queues: [queue],
        timing: {leaseMs, maxLeaseMs, previousOwnerMaxMs: 0},
        workers: ['w1', 'w2'].map(agent => ({agent, life: `${agent}-life`, cores: 16, rack: 'r0'})),
        getBehaviour: () => ({durationMs: 60_000}),
      });
      fleet.run(1_000);
      if (isReborn) for (const agent of ['w1', 'w2']) fleet.replace(agent, `${agent}-next`);
      fleet.run(1_100);
      fleet.submit(createSubmission(id, queue.key, [createStep({cores: 1, estimatedMs: 60_000})]));
      fleet.run(1_600);
      const [cutOff] = [...fleet.workers.values()].filter(({runs}) => runs.has(task));
      if (cutOff === undefined) throw new RangeError('the task does not run');
      const {agent} = cutOff.options;
      fleet.silences.set(agent, 'both');
      fleet.post({kind: 'agent-down', agent});
      if (isOwnerReplaced) {
        fleet.startOwner();
        fleet.post({kind: 'agent-down', agent});
      }
      const countStarts = () =>
        fleet.decisions.filter(decision => decision.event === 'run-placed').length;
      while (countStarts() < 2 && fleet.now < 30_000) fleet.run(fleet.now + 25);
      const restartMs = fleet.now - 1_100;
      t.ok(restartMs > (isReborn ? maxLeaseMs : leaseMs) - 500, `after ${restartMs} ms`);
      t.ok(restartMs < (isReborn ? maxLeaseMs : leaseMs) + 2_500, `after ${restartMs} ms`);
    });
  }
}

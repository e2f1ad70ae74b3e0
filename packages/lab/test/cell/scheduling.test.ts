import t from 'tap';
import {VirtualCell, type TaskBehaviour} from '../../src/cell/index.js';
import {countRunning, createWorkload, hosts, watchPlacement} from './fixtures.js';

function createCell(behaviour: Partial<TaskBehaviour> = {}): VirtualCell {
  const getBehaviour = (workload: string): TaskBehaviour =>
    workload.startsWith('service')
      ? {workMs: Number.POSITIVE_INFINITY}
      : {workMs: 20_000, checkpointIntervalMs: 5_000, ...behaviour};
  return new VirtualCell({hosts, getBehaviour});
}

const scenarios: Array<{
  readonly name: string;
  readonly injectFault: (cell: VirtualCell) => void;
}> = [
  {name: 'nothing fails', injectFault: () => {}},
  {
    name: 'a host with running tasks is killed',
    injectFault: cell => cell.queue.after(10_000, () => cell.kill('host-0')),
  },
  {
    name: 'two hosts of a rack are killed and one returns',
    injectFault: cell =>
      cell.queue.after(10_000, () => {
        for (const name of ['host-0', 'host-2']) cell.kill(name);
        cell.queue.after(20_000, () => cell.restart('host-0'));
      }),
  },
  {
    name: 'another entry takes over the cell twice',
    injectFault: cell => {
      cell.queue.after(9_000, () => cell.takeOver(10));
      cell.queue.after(12_000, () => cell.takeOver(20));
    },
  },
  {
    name: 'the store loses answers',
    injectFault: cell => {
      cell.store.loseAnswers = 1;
      cell.queue.after(9_000, () => {
        cell.store.loseAnswers = 4;
      });
    },
  },
  {
    name: 'the store is unavailable for 31 s',
    injectFault: cell => {
      cell.queue.after(9_000, () => {
        cell.store.isDown = true;
      });
      cell.queue.after(40_000, () => {
        cell.store.isDown = false;
      });
    },
  },
  {
    name: 'a host is drained',
    injectFault: cell => cell.queue.after(10_000, () => cell.configure({drains: ['host-0']})),
  },
];

for (const {name, injectFault} of scenarios) {
  void t.test(`every task finishes and none runs twice at once when ${name}`, async t => {
    const cell = createCell();
    const violations = watchPlacement(cell.queue, cell.hosts);
    cell.queue.after(4_000, () =>
      cell.configure({
        put: [
          createWorkload({name: 'proofs', tasks: 30}),
          createWorkload({name: 'service-prices', kind: 'service', urgency: 'critical', tasks: 3}),
        ],
      }),
    );
    injectFault(cell);
    cell.runUntil(200_000);
    t.same(violations.duplicates, [], 'no task ran on two hosts at once');
    t.same(violations.overloads, [], 'no host ran tasks beyond its processors');
    const job = cell.scheduler.getState().jobs.get('proofs');
    t.equal(job?.finished, 30, 'all tasks of the job finished');
    t.equal(countRunning(cell.hosts, 'service-prices'), 3, 'every replica runs');
  });
}

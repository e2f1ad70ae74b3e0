import t from 'tap';
import {VirtualCell, type TaskBehaviour} from '../../src/cell/index.js';
import {countRunning, createWorkload, hosts, watchPlacement} from './fixtures.js';

function createCell(behaviour: Partial<TaskBehaviour> = {}): VirtualCell {
  const getBehaviour = (workload: string): TaskBehaviour =>
    workload.startsWith('service')
      ? {workMs: Number.POSITIVE_INFINITY}
      : {workMs: 20_000, checkpointMs: 5_000, ...behaviour};
  return new VirtualCell({hosts, getBehaviour});
}

const scenarios: Array<{
  readonly name: string;
  readonly act: (cell: VirtualCell) => void;
}> = [
  {name: 'nothing fails', act: () => {}},
  {
    name: 'the host of a task dies',
    act: cell => cell.queue.after(10_000, () => cell.kill('host-0')),
  },
  {
    name: 'a rack dies and returns',
    act: cell =>
      cell.queue.after(10_000, () => {
        for (const name of ['host-0', 'host-2']) cell.kill(name);
        cell.queue.after(20_000, () => cell.restart('host-0'));
      }),
  },
  {
    name: 'another owner takes over twice',
    act: cell => {
      cell.queue.after(9_000, () => cell.takeOver(10));
      cell.queue.after(12_000, () => cell.takeOver(20));
    },
  },
  {
    name: 'the store loses answers',
    act: cell => {
      cell.store.loseAnswers = 1;
      cell.queue.after(9_000, () => {
        cell.store.loseAnswers = 4;
      });
    },
  },
  {
    name: 'the store is away for a time',
    act: cell => {
      cell.queue.after(9_000, () => {
        cell.store.down = true;
      });
      cell.queue.after(40_000, () => {
        cell.store.down = false;
      });
    },
  },
  {
    name: 'a host is drained',
    act: cell => cell.queue.after(10_000, () => cell.configure({drains: ['host-0']})),
  },
];

for (const {name, act} of scenarios) {
  void t.test(`every item finishes, never in two places, when ${name}`, async t => {
    const cell = createCell();
    const seen = watchPlacement(cell.queue, cell.hosts);
    cell.queue.after(4_000, () =>
      cell.configure({
        put: [
          createWorkload({name: 'proofs', tasks: 30}),
          createWorkload({name: 'service-prices', kind: 'service', urgency: 'critical', tasks: 3}),
        ],
      }),
    );
    act(cell);
    cell.runUntil(200_000);
    t.same(seen.duplicates, [], 'no task ran in two places');
    t.same(seen.overloads, [], 'no host had more than it has processors');
    const job = cell.scheduler.getState().jobs.get('proofs');
    t.equal(job?.finished, 30, 'every item is finished');
    t.equal(countRunning(cell.hosts, 'service-prices'), 3, 'every replica runs');
  });
}

import type {Workload} from '@chervilbeam/coordination';
import t from 'tap';
import {VirtualCell, type TaskBehaviour} from '../../src/cell/index.js';

const capacity = {processors: 16_000, memoryMb: 60_000, accelerators: 0, slots: 8};
const hosts = [0, 1, 2, 3, 4, 5].map(number => ({
  name: `host-${number}`,
  dataCentre: number < 3 ? 'west' : 'east',
  rack: `rack-${number % 2}`,
  capacity,
}));

function createWorkload(change: Partial<Workload> & {readonly name: string}): Workload {
  return {
    kind: 'batch',
    team: 'press',
    urgency: 'normal',
    grant: {slots: 0, processors: 0},
    resources: {processors: 4_000, memoryMb: 1_000, accelerators: 0, slots: 1},
    tasks: 4,
    runTimeSeconds: 20,
    checkpointSeconds: 5,
    ...change,
  };
}

function createCell(behaviour: Partial<TaskBehaviour> = {}): VirtualCell {
  const getBehaviour = (workload: string): TaskBehaviour =>
    workload.startsWith('service')
      ? {workMs: Number.POSITIVE_INFINITY}
      : {workMs: 20_000, checkpointMs: 5_000, ...behaviour};
  return new VirtualCell({hosts, getBehaviour});
}

/** Times at which a task ran in two places, sampled every 50 ms. */
function watchPlacement(cell: VirtualCell): {doubles: string[]; overloads: string[]} {
  const seen = {doubles: [] as string[], overloads: [] as string[]};
  cell.queue.every(50, () => {
    const places = new Set<string>();
    for (const host of cell.hosts.values()) {
      host.worker.advance(cell.queue.now);
      let processors = 0;
      for (const task of host.worker.running) {
        if (places.has(task.task)) seen.doubles.push(`${task.task} at ${cell.queue.now}`);
        places.add(task.task);
        processors += task.resources.processors;
      }
      if (processors > capacity.processors) seen.overloads.push(host.place.name);
    }
  });
  return seen;
}

function countRunning(cell: VirtualCell, prefix: string): number {
  let count = 0;
  for (const host of cell.hosts.values()) {
    count += host.worker.running.filter(task => task.task.startsWith(prefix)).length;
  }
  return count;
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
    const seen = watchPlacement(cell);
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
    t.same(seen.doubles, [], 'no task ran in two places');
    t.same(seen.overloads, [], 'no host had more than it has processors');
    const job = cell.scheduler.getState().jobs.get('proofs');
    t.equal(job?.finished, 30, 'every item is finished');
    t.equal(countRunning(cell, 'service-prices'), 3, 'every replica runs');
  });
}

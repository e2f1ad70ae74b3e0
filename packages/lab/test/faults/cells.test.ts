import {
  CellScheduler,
  type Announce,
  type CellSchedulerEvent,
  type Workload,
} from '@chervilbeam/coordination';
import t from 'tap';
import {createHello, createService, workerCapacity} from '../../src/capacity/sizes.js';

/** Returns the tasks that the scheduler of a cell with one host starts for a configuration with one service. */
function getStartedTasks(cell: string, cells?: Workload['cells']): string[] {
  const scheduler = new CellScheduler({cell});
  const started: string[] = [];
  const host = `host-of-${cell}`;
  let at = 0;
  const handle = (event: CellSchedulerEvent): void => {
    for (const effect of scheduler.reduce(event, at)) {
      if (effect.kind === 'send' && effect.message.kind === 'start') {
        started.push(effect.message.task);
      } else if (effect.kind === 'read-ledger') {
        handle({kind: 'ledger-read', revision: 0});
      } else if (effect.kind === 'write-ledger') {
        const {sequence} = effect;
        handle({kind: 'ledger-written', sequence, result: 'written', revision: sequence});
      }
    }
  };
  const message: Announce = {
    kind: 'announce',
    host,
    rack: 'rack',
    capacity: workerCapacity,
    services: [],
    slots: 8,
    connections: 64,
    draining: false,
  };
  handle({kind: 'host-up', host, hello: createHello(host, 'agent'), announce: message});
  handle({kind: 'ownership', mode: 'owner', term: 1, until: 100_000});
  const workloads = new Map([
    ['web', {...createService('web', cells?.length ?? 1), ...(cells && {cells})}],
  ]);
  const configuration = {version: 1, workloads, teams: new Map(), drains: new Set<string>()};
  handle({kind: 'configuration', configuration});
  for (at = 100; at <= 3_000; at += 100) {
    const heartbeat = {kind: 'heartbeat', stamp: at, configVersion: 1, inFlight: 0} as const;
    if (at % 1_000 === 0) handle({kind: 'heartbeat', host, message: heartbeat});
    handle({kind: 'report', host, message: {kind: 'report', full: true, attempts: []}});
    handle({kind: 'tick', wallTimeMs: at});
    if (started.length > 0) break;
  }
  return started;
}

const tasksByCell = ['a', 'b'].map(cell => ({cell, tasks: 1}));
const cases = [
  {
    title: 'a workload without cells runs in the main cell',
    started: [getStartedTasks('main')],
    tasks: ['web/0'],
  },
  {
    title: 'another cell does not run a workload without cells',
    started: [getStartedTasks('a'), getStartedTasks('b')],
    tasks: [],
  },
  {
    title: 'each cell runs exactly its own share of the tasks',
    started: [
      getStartedTasks('a', tasksByCell),
      getStartedTasks('b', tasksByCell),
      getStartedTasks('main', tasksByCell),
    ],
    tasks: ['web@a/0', 'web@b/0'],
  },
];

void t.test('two cells of one deployment never start the same task', async t => {
  for (const {title, started, tasks} of cases) t.same(started.flat(), tasks, title);
});

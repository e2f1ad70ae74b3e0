import t from 'tap';
import {predictEffects} from '../../src/tasks/index.js';
import {CellDriver, createConfiguration, createWorkload} from './cell-driver.js';

const batch = createWorkload({name: 'proofs', tasks: 8});
const uncheckpointed = createWorkload({name: 'prints', tasks: 2, checkpointSeconds: undefined});
const urgent = createWorkload({name: 'recall', urgency: 'urgent', tasks: 1});
const unrunnable = createWorkload({
  name: 'render',
  resources: {processors: 1_000, memoryMb: 100, accelerators: 2, slots: 0},
});

/** Two hosts with room for eight tasks of 4 cores. The number of starts allows evictions. */
function createDriver(workloads: readonly ReturnType<typeof createWorkload>[]): CellDriver {
  const driver = new CellDriver(['host-0', 'host-1']);
  driver.tick(1_000);
  driver.handle({kind: 'configuration', configuration: createConfiguration(1, workloads)});
  driver.tick(2_000);
  driver.confirmStarts();
  driver.scheduler.getState().starts = 100;
  return driver;
}

const cases = [
  {name: 'no change has no effect', present: [batch], next: [batch], expected: []},
  {
    name: 'a removed workload stops',
    present: [batch],
    next: [],
    expected: ['stop proofs 8'],
  },
  {
    name: 'a lower number of items stops the surplus tasks',
    present: [batch],
    next: [{...batch, tasks: 6}],
    expected: ['stop proofs 2'],
  },
  {
    name: 'a new workload starts on hosts with room',
    present: [{...batch, tasks: 6}],
    next: [{...batch, tasks: 6}, uncheckpointed],
    expected: ['start prints 2'],
  },
  {
    name: 'urgent work evicts a batch task',
    present: [batch],
    next: [batch, urgent],
    expected: ['move proofs 1', 'slow recall 1'],
  },
  {
    name: 'a job that fits no host can never run',
    present: [batch],
    next: [batch, unrunnable],
    expected: ['slow render 1'],
  },
  {
    name: 'tasks with checkpoints leave a drained host and the others stay',
    present: [{...batch, tasks: 6}, uncheckpointed],
    next: [{...batch, tasks: 6}, uncheckpointed],
    drains: ['host-0', 'host-1'],
    expected: ['move proofs 2', 'move proofs 4', 'slow proofs 6'],
  },
];

for (const {name, present, next, drains, expected} of cases) {
  void t.test(`a forecast predicts the effects of a configuration: ${name}`, async t => {
    const driver = createDriver(present);
    const runs = [...driver.scheduler.getState().runs.keys()];
    const configuration = createConfiguration(2, next, drains);
    const effects = predictEffects(driver.scheduler, configuration, driver.at);
    const predicted = effects.map(({action, workload, tasks}) => `${action} ${workload} ${tasks}`);
    t.same(predicted, expected);
    t.same(
      [...driver.scheduler.getState().runs.keys()],
      runs,
      'the forecast does not change the scheduler',
    );
    driver.tick(100);
    t.same(driver.getSent('stop'), [], 'the forecast stops no task');
  });
}

import t from 'tap';
import {
  noFailures,
  EventRecorder,
  TaskTable,
  type TaskStart,
  workerDefaults,
} from '../../src/index.js';

const resources = {processors: 1000, memoryMb: 100, accelerators: 0, slots: 0};
const start: TaskStart = {attempt: 5, term: 2, leaseMs: 10_000, resources, workload: 'job'};

function createTable() {
  const lines: string[] = [];
  const settings = {
    ...workerDefaults,
    name: 'host-1',
    rack: 'rack-1',
    services: [],
    workerListen: '',
    backendListen: '',
    agent: '',
    runTimesMs: {job: 1000},
    usageLagMs: 500,
  };
  const failures = {...noFailures};
  const table = new TaskTable(settings, failures, new EventRecorder(line => lines.push(line)));
  const getKinds = () => lines.map(line => (JSON.parse(line) as {kind: string}).kind);
  return {table, failures, getKinds};
}

// A stand-in that accepted one of these starts would hide a scheduler fault that runs a task twice.
const refusals: ReadonlyArray<{
  name: string;
  detail: string;
  act(table: TaskTable): {status: number; body: object};
}> = [
  {
    name: 'a start with an earlier term, from a scheduler that is no longer the owner',
    detail: 'stale-term',
    act: table => table.start('job/2', {...start, term: 1}, 0),
  },
  {
    name: 'a second attempt while the first is running',
    detail: 'task-present',
    act: table => table.start('job/1', {...start, attempt: 6}, 0),
  },
  {
    name: 'a start that arrives after the stop of the same attempt',
    detail: 'stale-attempt',
    act: table => {
      table.stop('job/3', 9, 2);
      return table.start('job/3', {...start, attempt: 9}, 0);
    },
  },
];

void t.test('the worker refuses starts that would run a task twice', async t => {
  for (const {name, detail, act} of refusals) {
    const {table} = createTable();
    table.start('job/1', start, 0);
    t.match(act(table), {status: 409, body: {detail}}, name);
  }
});

void t.test(
  'a task resumes from its checkpoint and ends when its work is done or its lease expires',
  async t => {
    const {table, getKinds} = createTable();
    table.start('job/1', start, 0);
    const {body} = table.checkpoint('job/1', 5, 2, 600);
    const {checkpoint} = body as {checkpoint: string};
    table.stop('job/1', 5, 2);
    table.start('job/1', {...start, attempt: 6, checkpoint}, 1000);
    table.tick(1300);
    t.match(table.getState(1300), {tasks: [{state: 'running'}]}, 'the work is not yet done');
    table.tick(1400);
    t.match(
      table.getState(1400),
      {tasks: [{state: 'finished'}]},
      'the work before the checkpoint counts',
    );
    table.start('job/2', {...start, leaseMs: 100}, 1400);
    table.tick(1500);
    t.match(table.getState(1500).tasks.at(-1), {state: 'stopped', detail: 'lease-ended'});
    const expected = ['run-started', 'run-ended', 'run-started', 'run-ended'];
    t.strictSame(getKinds(), [...expected, 'run-started', 'run-ended']);
  },
);

void t.test('usage is reported after the configured lag, as by a real worker', async t => {
  const {table} = createTable();
  table.start('job/1', start, 0);
  table.tick(100);
  t.strictSame(table.getUsage(400).usages, []);
  t.match(table.getUsage(600).usages, [{task: 'job/1', usage: {progress: 0.1}}]);
});

import t from 'tap';
import type {Start} from '../../src/messages/control.js';
import {AgentTasks, type AgentTasksEffect} from '../../src/tasks/index.js';

const capacity = {processors: 4_000, memoryMb: 8_000, accelerators: 0, slots: 8};

function createAgent(): AgentTasks {
  const agent = new AgentTasks();
  agent.reduce({kind: 'peer-up', peer: 'entry'}, 0);
  agent.reduce({kind: 'tick'}, 0);
  agent.reduce({kind: 'worker-state', capacity, rack: 'r', tasks: [], term: 0}, 5);
  return agent;
}

function createStart(change: Partial<Start> = {}): Start {
  return {
    kind: 'start',
    cell: 'main',
    term: 5,
    stamp: 19_000,
    leaseMs: 10_000,
    task: 'proofs/0',
    attempt: 100,
    workload: 'proofs',
    resources: {processors: 3_000, memoryMb: 100, accelerators: 0, slots: 1},
    ...change,
  };
}

function getCalls(effects: readonly AgentTasksEffect[]): string[] {
  return effects.flatMap(effect => (effect.kind === 'worker-call' ? [effect.action] : []));
}

const refusals = [
  {name: 'a stamp older than the lease duration, from a paused scheduler', change: {stamp: 9_000}},
  {
    name: 'a stamp from the future, from an earlier incarnation of the agent',
    change: {stamp: 90_000},
  },
  {name: 'a lower term', change: {term: 4}},
  {
    name: 'more processors than are free on the host',
    change: {resources: {processors: 2_000, memoryMb: 100, accelerators: 0, slots: 1}},
  },
  {
    name: 'a second attempt of a task while the first runs',
    change: {task: 'other/0', attempt: 102},
  },
];

for (const {name, change} of refusals) {
  void t.test(`an agent refuses ${name}`, async t => {
    const agent = createAgent();
    const other = createStart({task: 'other/0', attempt: 99});
    const started = agent.reduce({kind: 'message', peer: 'entry', message: other}, 20_000);
    t.same(getCalls(started), ['start']);
    const message = createStart(change);
    const effects = agent.reduce({kind: 'message', peer: 'entry', message}, 20_001);
    t.same(getCalls(effects), []);
  });
}

void t.test(
  'a task is stopped when its lease expires on the agent clock, and a grant extends the lease',
  async t => {
    const agent = createAgent();
    agent.reduce({kind: 'message', peer: 'entry', message: createStart()}, 20_000);
    const {attempt, task} = createStart();
    agent.reduce({kind: 'worker-result', task, attempt, action: 'start', ok: true}, 20_010);
    const grant = {kind: 'grant', cell: 'main', term: 5, stamp: 25_000, leaseMs: 10_000} as const;
    t.same(getCalls(agent.reduce({kind: 'message', peer: 'entry', message: grant}, 25_100)), [
      'renew',
    ]);
    agent.reduce({kind: 'worker-result', task, attempt, action: 'renew', ok: true}, 25_110);
    t.same(getCalls(agent.reduce({kind: 'tick'}, 34_900)), []);
    t.same(getCalls(agent.reduce({kind: 'tick'}, 35_000)), ['stop']);
  },
);

void t.test(
  'a delayed task list of the worker does not restore an acknowledged attempt',
  async t => {
    const agent = createAgent();
    agent.reduce({kind: 'message', peer: 'entry', message: createStart()}, 20_000);
    const {attempt, task, workload, resources} = createStart();
    const listed = {task, attempt, workload, resources, leaseMs: 5_000};
    agent.reduce({kind: 'worker-result', task, attempt, action: 'start', ok: true}, 20_010);
    const finished = [{...listed, state: 'finished' as const}];
    agent.reduce({kind: 'worker-state', capacity, rack: 'r', tasks: finished, term: 5}, 21_000);
    const message = {kind: 'acknowledge', term: 5, attempts: [{task, attempt}]} as const;
    agent.reduce({kind: 'message', peer: 'entry', message}, 21_500);
    const late = [{...listed, state: 'running' as const}];
    agent.reduce({kind: 'worker-state', capacity, rack: 'r', tasks: late, term: 5}, 21_600);
    t.same(agent.getAttempts(), []);
  },
);

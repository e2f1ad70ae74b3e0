import t from 'tap';
import type {Configuration, Workload} from '../../src/configuration/document.js';
import {FinishedJobs} from '../../src/entry/finished-jobs.js';
import type {WorkloadStatus} from '../../src/tasks/workload-status.js';

const hourMs = 3_600_000;

function configuration(...names: string[]): Configuration {
  const workloads = new Map(names.map(name => [name, {name} as Workload]));
  return {version: 7, workloads, teams: new Map(), drains: new Set()};
}

function status(name: string, change: Partial<WorkloadStatus> = {}): WorkloadStatus {
  const counts = {tasks: 2, running: 0, waiting: 0, finished: 2};
  return {name, kind: 'batch', team: 'print', ...counts, ...change};
}

const cases = [
  {
    guards: 'the configuration grows by every finished job',
    looks: [
      [0, [status('a')]],
      [hourMs, [status('a')]],
    ],
    removed: [[], ['a']],
  },
  {
    guards: 'a job disappears before operators have seen that it finished',
    looks: [
      [0, [status('a')]],
      [hourMs - 1, [status('a')]],
    ],
    removed: [[], []],
  },
  {
    guards: 'unfinished work is dropped silently',
    looks: [
      [0, [status('a', {waiting: 1}), status('b', {running: 1}), status('c', {kind: 'service'})]],
      [2 * hourMs, [status('a', {waiting: 1}), status('b', {running: 1})]],
    ],
    removed: [[], []],
  },
  {
    guards: 'a job that was enlarged after it had finished is removed by the time of its first end',
    looks: [
      [0, [status('a')]],
      [hourMs / 2, [status('a', {waiting: 1})]],
      [hourMs, [status('a')]],
    ],
    removed: [[], [], []],
  },
  {
    guards: 'the share of a cell is not removed, or a name that the configuration does not have is',
    looks: [
      [0, [status('a@north'), status('gone')]],
      [hourMs, [status('a@north'), status('gone')]],
    ],
    removed: [[], ['a']],
  },
] as const;

void t.test('finished batch jobs leave the configuration after the retention time', async t => {
  for (const c of cases) {
    const jobs = new FinishedJobs({prefix: 'entry-1'});
    const removed = c.looks.map(([at, workloads]) => {
      const plan = jobs.getRemoval(configuration('a', 'b', 'c'), workloads, at);
      return plan?.operations.map(operation => 'name' in operation && operation.name) ?? [];
    });
    t.same(removed, c.removed, c.guards);
  }
});

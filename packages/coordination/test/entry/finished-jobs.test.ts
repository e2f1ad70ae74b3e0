import t from 'tap';
import type {Configuration, Workload} from '../../src/configuration/document.js';
import {FinishedJobs} from '../../src/entry/finished-jobs.js';
import type {WorkloadStatus} from '../../src/tasks/workload-status.js';

const hourMs = 3_600_000;

function configuration(...names: string[]): Configuration {
  const workloads = new Map(names.map(name => [name, {name} as Workload]));
  return {version: 7, workloads, teams: new Map(), drains: new Set()};
}

function status(name: string, overrides: Partial<WorkloadStatus> = {}): WorkloadStatus {
  const counts = {tasks: 2, running: 0, waiting: 0, finished: 2};
  return {name, kind: 'batch', team: 'print', ...counts, ...overrides};
}

const cases = [
  {
    guards: 'finished jobs are never removed, so that the configuration grows without bound',
    checks: [
      [0, [status('a')]],
      [hourMs, [status('a')]],
    ],
    removed: [[], ['a']],
  },
  {
    guards: 'a job is removed before the end of its retention time',
    checks: [
      [0, [status('a')]],
      [hourMs - 1, [status('a')]],
    ],
    removed: [[], []],
  },
  {
    guards: 'a waiting or running job, or a service, is removed',
    checks: [
      [0, [status('a', {waiting: 1}), status('b', {running: 1}), status('c', {kind: 'service'})]],
      [2 * hourMs, [status('a', {waiting: 1}), status('b', {running: 1})]],
    ],
    removed: [[], []],
  },
  {
    guards: 'the retention time of a job that was enlarged counts from when it first finished',
    checks: [
      [0, [status('a')]],
      [hourMs / 2, [status('a', {waiting: 1})]],
      [hourMs, [status('a')]],
    ],
    removed: [[], [], []],
  },
  {
    guards:
      'a job is not removed by its declared name, or the removal of a job that is not in the configuration is requested',
    checks: [
      [0, [status('a@north'), status('gone')]],
      [hourMs, [status('a@north'), status('gone')]],
    ],
    removed: [[], ['a']],
  },
] as const;

void t.test(
  'finished batch jobs are removed from the configuration after the retention time',
  async t => {
    for (const testCase of cases) {
      const jobs = new FinishedJobs({prefix: 'entry-1'});
      const removed = testCase.checks.map(([at, workloads]) => {
        const plan = jobs.createRemovalPlan(configuration('a', 'b', 'c'), workloads, at);
        return plan?.operations.map(operation => 'name' in operation && operation.name) ?? [];
      });
      t.same(removed, testCase.removed, testCase.guards);
    }
  },
);

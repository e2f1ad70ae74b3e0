import t from 'tap';
import type {Workload} from '../../src/configuration/document.js';
import {getWorkloadPrefix, RunTimeEstimates} from '../../src/tasks/round/run-time-estimates.js';
import {SizeEstimates} from '../../src/tasks/round/size-estimates.js';

const workload: Workload = {
  kind: 'batch',
  name: 'proof-2026-01',
  team: 'press',
  urgency: 'normal',
  grant: {slots: 0, processors: 0},
  resources: {processors: 4_000, memoryMb: 100, accelerators: 0, slots: 0},
  tasks: 1,
};

void t.test('a job of the next month uses what its series taught', async t => {
  const names = ['dividend-2026-01', 'dividend-2026-02', 'dividend.7', 'dividend'];
  t.same([...new Set(names.map(getWorkloadPrefix))], ['dividend']);
});

void t.test('a run time declared ten times too short is corrected after a few items', async t => {
  const estimates = new RunTimeEstimates();
  t.ok(estimates.getFactor('press', 'proof-1') > 2, 'an unknown declaration is not trusted');
  for (let item = 0; item < 5; item += 1) estimates.observe('press', 'proof-1', 10, 100);
  const factor = estimates.getFactor('press', 'proof-2', 0);
  t.ok(factor > 8 && factor < 10.1, `factor ${factor}`);
});

const sizes = [
  {name: 'an exact declaration is reserved as it is', measured: 4_000, expected: 4_000},
  {name: 'a batch task that uses a quarter gives the rest back', measured: 1_000, expected: 995},
  {name: 'a task that uses twice its size reserves more', measured: 8_000, expected: 7_960},
  {name: 'no task reserves more than the largest host has', measured: 40_000, expected: 16_000},
];

for (const {name, measured, expected} of sizes) {
  void t.test(`declared sizes are off: ${name}`, async t => {
    const estimates = new SizeEstimates();
    for (let report = 0; report < 10; report += 1) {
      estimates.observe('press', workload.name, 4_000, measured);
    }
    t.equal(estimates.getReservation(workload, 16_000).processors, expected);
  });
}

void t.test('a service keeps its declared size, because its load varies', async t => {
  const estimates = new SizeEstimates();
  for (let report = 0; report < 10; report += 1) {
    estimates.observe('press', workload.name, 4_000, 500);
  }
  const service = {...workload, kind: 'service' as const};
  t.equal(estimates.getReservation(service, 16_000).processors, 4_000);
});

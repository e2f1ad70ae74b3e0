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

void t.test(
  'the jobs of a monthly series share one key, so that each month uses the estimates of earlier ones',
  async t => {
    const names = ['dividend-2026-01', 'dividend-2026-02', 'dividend.7', 'dividend'];
    t.same([...new Set(names.map(getWorkloadPrefix))], ['dividend']);
  },
);

void t.test('a run time declared ten times too short is corrected after a few items', async t => {
  const estimates = new RunTimeEstimates();
  t.ok(
    estimates.getFactor('press', 'proof-1') > 2,
    'without observations the declared time is multiplied by a margin',
  );
  for (let item = 0; item < 5; item += 1) estimates.observe('press', 'proof-1', 10, 100);
  const factor = estimates.getFactor('press', 'proof-2', 0);
  t.ok(factor > 8 && factor < 10.1, `factor ${factor}`);
});

const sizes = [
  {name: 'an exact declaration is reserved unchanged', measured: 4_000, expected: 4_000},
  {
    name: 'a batch task that uses a quarter reserves about a quarter',
    measured: 1_000,
    expected: 995,
  },
  {
    name: 'a task that uses twice its declared size reserves about twice as much',
    measured: 8_000,
    expected: 7_960,
  },
  {name: 'no task reserves more than the largest host has', measured: 40_000, expected: 16_000},
];

for (const {name, measured, expected} of sizes) {
  void t.test(`reservations follow measured usage: ${name}`, async t => {
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

import t from 'tap';
import {parseIntent, parseIntentText} from '../../src/configuration/index.js';

const service = {
  name: 'price-check',
  team: 'stalls',
  urgency: 'critical',
  grant: {slots: 8},
  resources: {processors: 500, memoryMb: 256, slots: 4},
  replicas: 3,
};
const batch = {
  name: 'print-proofs',
  team: 'print',
  urgency: 'normal',
  resources: {processors: 2000, memoryMb: 1024},
  tasks: 40,
  runTimeSeconds: 120,
  date: '2026-12-31T18:00:00+01:00',
};

void t.test('a valid intent keeps every field, so that none is silently dropped', async t => {
  const result = parseIntent(
    {
      operator: 'Kari',
      services: [{...service, idempotentMethods: ['GET', 'POST']}],
      batches: [{...batch, checkpointSeconds: 30}],
      watches: [{...service, name: 'stock', replicas: 1}],
      teams: [{name: 'stalls', quota: {processors: 8000, memoryMb: 4096}, weight: 2}],
      drains: ['host-1', {host: 'host-2', draining: false}],
      cancel: ['old-batch'],
    },
    'intent.json',
  );
  if (!result.ok) return t.fail(JSON.stringify(result.findings));
  t.match(result.intent, {
    operator: 'Kari',
    workloads: [
      {
        kind: 'service',
        tasks: 3,
        grant: {slots: 8, processors: 0},
        idempotentMethods: ['GET', 'POST'],
      },
      {
        kind: 'batch',
        dateMs: Date.UTC(2026, 11, 31, 17),
        checkpointSeconds: 30,
        runTimeSeconds: 120,
      },
      {kind: 'watch', name: 'stock'},
    ],
    teams: [{name: 'stalls', weight: 2}],
    drains: [
      {host: 'host-1', draining: true},
      {host: 'host-2', draining: false},
    ],
    cancel: ['old-batch'],
  });
});

const cases: Array<{name: string; intent: Record<string, unknown>; places: string[]}> = [
  {
    name: 'a misspelt field is rejected instead of leaving the default in force',
    intent: {operator: 'a', services: [{...service, replicsa: 3}]},
    places: ['services[0].replicsa'],
  },
  {
    name: 'one pass reports all problems, so that an operator can correct them at once',
    intent: {
      services: [{...service, urgency: 'high', replicas: -1, resources: {processors: 0.5}}],
      watchs: [],
      drains: [7, 'host-1', 'host-1'],
    },
    places: [
      'operator',
      'services[0].urgency',
      'services[0].resources.processors',
      'services[0].replicas',
      'drains[0]',
      'drains[2]',
      'watchs',
    ],
  },
  {
    name: 'cell shares that do not add up to the tasks are rejected, and so is a batch job in two cells',
    intent: {
      operator: 'Kari',
      services: [{...service, replicas: 3, cells: [{cell: 'a', tasks: 1}]}],
      batches: [
        {
          ...batch,
          tasks: 2,
          cells: [
            {cell: 'a', tasks: 1},
            {cell: 'b', tasks: 1},
          ],
        },
      ],
    },
    places: ['services[0].cells', 'batches[0].cells'],
  },
  {
    name: 'a name shared by a service and a batch job is rejected, because one would replace the other',
    intent: {operator: 'a', services: [service], batches: [{...batch, name: service.name}]},
    places: ['batches[0].name'],
  },
  {
    name: 'a date without a time zone is rejected, because it would depend on the zone of the host',
    intent: {operator: 'a', batches: [{...batch, date: '2026-12-31T18:00:00'}]},
    places: ['batches[0].date'],
  },
  {
    name: 'a date that does not exist is rejected instead of moving into the next month',
    intent: {operator: 'a', batches: [{...batch, date: '2026-02-30T18:00:00Z'}]},
    places: ['batches[0].date'],
  },
  {
    name: 'lists of the wrong type are rejected instead of being read as empty',
    intent: {operator: 'a', services: {}, teams: ['x'], cancel: [1]},
    places: ['services', 'teams[0]', 'cancel[0]'],
  },
  {
    name: 'a method in lower case is rejected, because it would never match a request',
    intent: {operator: 'a', services: [{...service, idempotentMethods: ['post']}]},
    places: ['services[0].idempotentMethods[0]'],
  },
];

void t.test(
  'every invalid field gives a finding with file, path, value and what is allowed',
  async t => {
    for (const testCase of cases) {
      const result = parseIntent(testCase.intent, 'intent.json');
      if (result.ok) {
        t.fail(`${testCase.name}: accepted`);
        continue;
      }
      t.same(
        result.findings.map(finding => finding.place).sort(),
        testCase.places.sort(),
        testCase.name,
      );
      for (const finding of result.findings) {
        t.equal(finding.source, 'intent.json');
        t.not(finding.allowed, '');
        t.not(finding.value, '');
      }
    }
  },
);

void t.test('text that is not JSON gives a finding instead of an exception', async t => {
  t.match(parseIntentText('{"operator":', 'x.json'), {
    ok: false,
    findings: [{source: 'x.json', allowed: 'JSON'}],
  });
});

import fc from 'fast-check';
import t from 'tap';
import {
  applyOperations,
  checkPlan,
  createPlan,
  emptyConfiguration,
  parseIntent,
  sealPlan,
  type Configuration,
  type Intent,
  type Plan,
} from '../../src/configuration/index.js';

const resources = {processors: 500};
const service = {name: 'price', team: 'stalls', urgency: 'critical', resources, replicas: 3};
const batch = {
  name: 'proofs',
  team: 'stalls',
  urgency: 'normal',
  resources,
  tasks: 5,
  runTimeSeconds: 9,
};
const team = {name: 'stalls', quota: {processors: 9000}};

function getIntent(fields: Record<string, unknown>): Intent {
  const result = parseIntent({operator: 'Kari', ...fields}, 'intent.json');
  if (!result.ok) throw new Error(JSON.stringify(result.findings));
  return result.intent;
}

function getPlan(configuration: Configuration, fields: Record<string, unknown>): Plan {
  const result = createPlan(configuration, getIntent(fields), 'plan-1', 'intent.json');
  if (!result.ok) throw new Error(JSON.stringify(result.findings));
  return result.plan;
}

const first = getPlan(emptyConfiguration, {teams: [team], services: [service], batches: [batch]});
const present = applyOperations(emptyConfiguration, first.operations, 4);

const effects = [
  {name: 'no effects for parts already in force', fields: {services: [service]}, expected: []},
  {
    name: 'starts for more replicas',
    fields: {services: [{...service, replicas: 5}]},
    expected: [{action: 'start', workload: 'price', tasks: 2}],
  },
  {
    name: 'stops for fewer replicas',
    fields: {services: [{...service, replicas: 1}]},
    expected: [{action: 'stop', workload: 'price', tasks: 2}],
  },
  {
    name: 'stops for a cancelled batch job',
    fields: {cancel: ['proofs']},
    expected: [{action: 'stop', workload: 'proofs', tasks: 5}],
  },
];

void t.test('effects without a scheduler follow the declared task counts', async t => {
  for (const {name, fields, expected} of effects) {
    const plan = getPlan(present, fields);
    t.match(plan, {baseVersion: 4, prediction: 'declared'}, name);
    t.match(plan.effects, expected, name);
    t.equal(plan.effects.length, expected.length, name);
  }
});

void t.test('the scheduler predicts effects for the configuration after the plan', async t => {
  const intent = getIntent({cancel: ['proofs']});
  const result = createPlan(present, intent, 'p', 'x', next => {
    t.equal(next.version, 5);
    t.notOk(next.workloads.has('proofs'));
    return [];
  });
  t.match(result, {ok: true, plan: {prediction: 'scheduler', effects: []}});
});

const rejected = [
  {name: 'a team that does not exist', fields: {services: [{...service, team: 'x'}]}, value: 'x'},
  {
    name: 'a service that would replace a batch job of the same name',
    fields: {services: [{...service, name: 'proofs'}]},
    value: 'proofs',
  },
  {
    name: 'a cancelled workload that does not exist',
    fields: {cancel: ['unknown']},
    value: 'unknown',
  },
  {
    name: 'a workload that is set and cancelled at once',
    fields: {services: [service], cancel: ['price']},
    value: 'price',
  },
];

void t.test(
  'an intent that conflicts with the configuration gives findings and no plan',
  async t => {
    for (const {name, fields, value} of rejected) {
      const result = createPlan(present, getIntent(fields), 'p', 'intent.json');
      t.match(result, {ok: false, findings: [{source: 'intent.json', value}]}, name);
    }
    const drains = Array.from({length: 5000}, (_, index) => `host-${index}`.padEnd(60, 'x'));
    const large = createPlan(present, getIntent({drains}), 'p', 'intent.json');
    t.match(large, {ok: false, findings: [{place: 'file', value: /bytes/}]}, 'too large');
  },
);

const tampered: Array<{name: string; change: (plan: Record<string, unknown>) => void}> = [
  {name: 'another base version', change: plan => (plan.baseVersion = 9)},
  {name: 'another operation', change: plan => (plan.operations = [])},
  {name: 'an operation of an unknown kind', change: plan => (plan.operations = [{kind: 'x'}])},
  {
    name: 'a workload without a team',
    change: plan => (plan.operations = [{kind: 'put-workload', workload: {name: 'a'}}]),
  },
  {name: 'no operations', change: plan => delete plan.operations},
  {name: 'an unknown field', change: plan => (plan.force = true)},
];

void t.test('a plan that was changed after its creation is rejected', async t => {
  const copy = () => JSON.parse(JSON.stringify(first)) as Record<string, unknown>;
  t.match(checkPlan(copy(), 'plan.json'), {ok: true});
  t.match(checkPlan('x', 'plan.json'), {ok: false});
  for (const {name, change} of tampered) {
    const plan = copy();
    change(plan);
    t.match(checkPlan(plan, 'plan.json'), {ok: false, findings: [{source: 'plan.json'}]}, name);
  }
});

void t.test('a plan whose workload is divided between cells is valid', async t => {
  const divided = {
    ...service,
    cells: [
      {cell: 'main', tasks: 1},
      {cell: 'north', tasks: 2},
    ],
  };
  const {operations} = first;
  const plan = sealPlan({
    ...first,
    operations: operations.map(operation =>
      operation.kind === 'put-workload' && operation.workload.name === service.name
        ? {...operation, workload: {...operation.workload, cells: divided.cells}}
        : operation,
    ),
  });
  t.match(checkPlan(JSON.parse(JSON.stringify(plan)), 'plan.json'), {ok: true});
  const overlapping = sealPlan({
    ...plan,
    operations: plan.operations.map(operation =>
      operation.kind === 'put-workload' && operation.workload.cells
        ? {...operation, workload: {...operation.workload, cells: [{cell: 'main', tasks: 7}]}}
        : operation,
    ),
  });
  t.match(checkPlan(JSON.parse(JSON.stringify(overlapping)), 'plan.json'), {
    ok: false,
    findings: [{allowed: 'shares that add up to 3 tasks'}],
  });
});

void t.test('arbitrary input gives findings and never an exception', async t => {
  const lists = ['services', 'batches', 'watches', 'teams', 'drains', 'cancel', 'operations'];
  const values = fc.oneof(
    fc.jsonValue(),
    fc.dictionary(fc.constantFrom('operator', ...lists), fc.jsonValue()),
    fc.dictionary(fc.constantFrom(...lists), fc.array(fc.jsonValue())),
  );
  fc.assert(
    fc.property(values, value => {
      for (const result of [parseIntent(value, 'x'), checkPlan(value, 'x')]) {
        if (!result.ok && result.findings.length === 0) throw new Error('no finding');
      }
    }),
    {seed: 11, numRuns: 500},
  );
  t.pass('500 values');
});

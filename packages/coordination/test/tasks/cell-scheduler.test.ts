import t from 'tap';
import {CellDriver, createConfiguration, createWorkload} from './cell-driver.js';

function start(tasks: number): CellDriver {
  const driver = new CellDriver(['host-0']);
  driver.tick(1_000);
  const workloads = [createWorkload({name: 'proofs', tasks})];
  driver.handle({kind: 'configuration', configuration: createConfiguration(1, workloads)});
  driver.tick(2_000);
  return driver;
}

void t.test('reports resent during a store outage are applied and acknowledged once', async t => {
  const driver = start(1);
  const [first] = driver.getSent('start');
  const {task = '', attempt = 0} = first?.message ?? {};
  driver.confirmStarts();
  driver.storeUp = false;
  driver.handle({kind: 'ownership', mode: 'hold', term: 1});
  for (let repeat = 0; repeat < 5; repeat += 1) {
    driver.report('host-0', {task, attempt, state: 'stopped', checkpoint: 'c1'});
    driver.tick(6_000);
  }
  t.same(driver.getSent('acknowledge'), []);
  t.same(
    driver.getSent('start'),
    [],
    'the task does not resume before its checkpoint is in the ledger',
  );
  driver.storeUp = true;
  driver.handle({kind: 'ownership', mode: 'owner', term: 1});
  driver.tick(1_000);
  t.same(
    driver.getSent('acknowledge').map(({message}) => message.attempts),
    [[{task, attempt}]],
  );
  driver.tick(1_000);
  t.same(
    driver.getSent('start').map(({message}) => message.checkpoint),
    ['c1'],
    'the task resumes once, from its checkpoint',
  );
});

void t.test(
  'the reservation of an ended attempt is released before its checkpoint is in the ledger',
  async t => {
    const driver = start(8);
    const starts = driver.getSent('start');
    driver.confirmStarts();
    driver.tick(1_000);
    driver.storeUp = false;
    const {task = '', attempt = 0} = starts[0]?.message ?? {};
    driver.report('host-0', {task, attempt, state: 'stopped', checkpoint: 'c1'});
    driver.tick(100);
    const next = driver.getSent('start').map(({message}) => message.task);
    t.equal(next.length, 1);
    t.not(next[0], task, 'another task starts in its place');
  },
);

void t.test('a scheduler that was paused past the end of its ownership sends nothing', async t => {
  const driver = new CellDriver(['host-0']);
  driver.handle({kind: 'ownership', mode: 'owner', term: 1, until: 5_000});
  driver.tick(1_000);
  t.ok(driver.sent.length > 0);
  driver.sent.length = 0;
  driver.tick(6_000);
  t.same(driver.sent, []);
});

void t.test('a late checkpoint of an older attempt does not replace a newer one', async t => {
  const driver = start(1);
  const {message} = driver.getSent('start')[0] ?? {};
  const {task = '', attempt = 0} = message ?? {};
  driver.confirmStarts();
  driver.report('host-0', {task, attempt, state: 'stopped', checkpoint: 'new'});
  driver.report('host-0', {task, attempt: attempt - 1, state: 'stopped', checkpoint: 'old'});
  driver.tick(1_500);
  driver.tick(1_500);
  const [resumed] = driver.getSent('start');
  t.equal(resumed?.message.checkpoint, 'new');
});

void t.test('a new owner may evict adopted tasks for urgent work at once', async t => {
  const hosts = ['host-0', 'host-1'];
  const driver = new CellDriver(hosts);
  const resources = {processors: 1_000, memoryMb: 100, accelerators: 0, slots: 0};
  const batch = createWorkload({name: 'proofs', tasks: 32, resources});
  driver.handle({kind: 'configuration', configuration: createConfiguration(1, [batch])});
  for (let index = 0; index < 32; index += 1) {
    driver.report(hosts[index % 2] ?? '', {task: `proofs/${index}`, attempt: 9, state: 'running'});
  }
  driver.tick(1_000);
  t.same(driver.getSent('start'), [], 'all tasks are adopted');
  const urgent = createWorkload({name: 'recall', urgency: 'urgent', tasks: 1, resources});
  driver.handle({kind: 'configuration', configuration: createConfiguration(2, [batch, urgent])});
  driver.tick(1_000);
  t.equal(driver.getSent('stop').length, 1);
});

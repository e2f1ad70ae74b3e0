import t from 'tap';
import {VirtualFleet} from '../../src/cell/index.js';
import {countRunning, createWorkload, hosts, watchPlacement} from './fixtures.js';

const entries = [
  {name: 'entry-w1', dataCentre: 'west'},
  {name: 'entry-w2', dataCentre: 'west'},
  {name: 'entry-e1', dataCentre: 'east'},
];

function createFleet(clockRates: readonly number[] = []): VirtualFleet {
  const fleet = new VirtualFleet({
    entries: entries.map((entry, position) => ({...entry, clockRate: clockRates[position]})),
    hosts,
    getBehaviour: workload =>
      workload.startsWith('service')
        ? {workMs: Number.POSITIVE_INFINITY}
        : {workMs: 20_000, checkpointIntervalMs: 5_000},
  });
  fleet.queue.after(10_000, () =>
    fleet.configure([
      createWorkload({name: 'proofs', tasks: 60}),
      createWorkload({name: 'service-prices', kind: 'service', urgency: 'critical', tasks: 3}),
    ]),
  );
  return fleet;
}

const scenarios: Array<{
  readonly name: string;
  readonly clockRates?: readonly number[];
  readonly injectFault: (fleet: VirtualFleet) => void;
}> = [
  {name: 'nothing fails', injectFault: () => {}},
  {
    name: 'the owner is killed',
    injectFault: fleet => fleet.killEntry(fleet.owner?.registered.name ?? ''),
  },
  {name: 'the owner is paused for 4 s', injectFault: fleet => fleet.owner?.pause(4_000)},
  {name: 'the owner is paused for 15 s', injectFault: fleet => fleet.owner?.pause(15_000)},
  {
    name: 'clocks run 1% apart and the owner is paused for 6 s',
    clockRates: [0.995, 1.005, 1],
    injectFault: fleet => fleet.owner?.pause(6_000),
  },
  {
    name: 'the store is unavailable for 30 s',
    injectFault: fleet => {
      fleet.store.isDown = true;
      fleet.queue.after(30_000, () => {
        fleet.store.isDown = false;
      });
    },
  },
  {
    name: 'the store loses ten answers',
    injectFault: fleet => {
      fleet.store.loseAnswers = 10;
    },
  },
  {
    name: "the owner's data centre is cut off from the store for 30 s",
    injectFault: fleet => {
      const dataCentre = fleet.owner?.registered.dataCentre ?? '';
      fleet.setCutFromStore(dataCentre, true);
      fleet.queue.after(30_000, () => fleet.setCutFromStore(dataCentre, false));
    },
  },
  {
    name: 'the data centres are partitioned for 40 s and the east cannot reach the store',
    injectFault: fleet => {
      fleet.setPartitioned('east', true);
      fleet.setCutFromStore('east', true);
      fleet.queue.after(40_000, () => {
        fleet.setPartitioned('east', false);
        fleet.setCutFromStore('east', false);
      });
    },
  },
  {
    name: 'the data centres are partitioned for 40 s and the west cannot reach the store',
    injectFault: fleet => {
      fleet.setPartitioned('west', true);
      fleet.setCutFromStore('west', true);
      fleet.queue.after(40_000, () => {
        fleet.setPartitioned('west', false);
        fleet.setCutFromStore('west', false);
      });
    },
  },
];

for (const {name, clockRates, injectFault} of scenarios) {
  void t.test(`no task runs twice and all work finishes when ${name}`, async t => {
    const fleet = createFleet(clockRates);
    const violations = watchPlacement(fleet.queue, fleet.hosts);
    fleet.queue.after(25_000, () => injectFault(fleet));
    fleet.runUntil(300_000);
    t.same(violations.duplicates, [], 'no task ran on two hosts at once');
    t.same(violations.overloads, [], 'no host ran tasks beyond its processors');
    const owners = [...fleet.entries.values()].filter(
      entry => !entry.isDead && entry.mode === 'owner',
    );
    t.equal(owners.length, 1, 'one entry owns the cell at the end');
    t.equal(
      owners[0]?.scheduler.getState().jobs.get('proofs')?.finished,
      60,
      'all tasks of the job finished',
    );
    t.equal(countRunning(fleet.hosts, 'service-prices'), 3, 'every replica runs');
  });
}

void t.test('another entry takes over the cell within 5 s after the owner is killed', async t => {
  const fleet = createFleet();
  fleet.runUntil(25_000);
  fleet.killEntry(fleet.owner?.registered.name ?? '');
  fleet.runUntil(30_000);
  t.equal(fleet.owner?.mode, 'owner');
});

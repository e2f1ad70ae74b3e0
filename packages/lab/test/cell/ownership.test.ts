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
        : {workMs: 20_000, checkpointMs: 5_000},
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
  readonly act: (fleet: VirtualFleet) => void;
}> = [
  {name: 'nothing fails', act: () => {}},
  {name: 'the owner dies', act: fleet => fleet.killEntry(fleet.owner?.registered.name ?? '')},
  {name: 'the owner is paused for 4 s', act: fleet => fleet.owner?.pause(4_000)},
  {name: 'the owner is paused for 15 s', act: fleet => fleet.owner?.pause(15_000)},
  {
    name: 'clocks run 1% apart and the owner is paused for 6 s',
    clockRates: [0.995, 1.005, 1],
    act: fleet => fleet.owner?.pause(6_000),
  },
  {
    name: 'the store is away for 30 s',
    act: fleet => {
      fleet.store.down = true;
      fleet.queue.after(30_000, () => {
        fleet.store.down = false;
      });
    },
  },
  {
    name: 'the store loses ten answers',
    act: fleet => {
      fleet.store.loseAnswers = 10;
    },
  },
  {
    name: 'the owner alone is cut off from the store for 30 s',
    act: fleet => {
      const dataCentre = fleet.owner?.registered.dataCentre ?? '';
      fleet.setStoreCut(dataCentre, true);
      fleet.queue.after(30_000, () => fleet.setStoreCut(dataCentre, false));
    },
  },
  {
    name: 'the data centres part for 40 s and the east has no store',
    act: fleet => {
      fleet.setCut('east', true);
      fleet.setStoreCut('east', true);
      fleet.queue.after(40_000, () => {
        fleet.setCut('east', false);
        fleet.setStoreCut('east', false);
      });
    },
  },
  {
    name: 'the data centres part for 40 s and the west has no store',
    act: fleet => {
      fleet.setCut('west', true);
      fleet.setStoreCut('west', true);
      fleet.queue.after(40_000, () => {
        fleet.setCut('west', false);
        fleet.setStoreCut('west', false);
      });
    },
  },
];

for (const {name, clockRates, act} of scenarios) {
  void t.test(`no task runs twice and all work finishes when ${name}`, async t => {
    const fleet = createFleet(clockRates);
    const seen = watchPlacement(fleet.queue, fleet.hosts);
    fleet.queue.after(25_000, () => act(fleet));
    fleet.runUntil(300_000);
    t.same(seen.duplicates, [], 'no task ran in two places');
    t.same(seen.overloads, [], 'no host had more than it has processors');
    const owners = [...fleet.entries.values()].filter(
      entry => !entry.isDead && entry.mode === 'owner',
    );
    t.equal(owners.length, 1, 'one entry owns the cell at the end');
    t.equal(owners[0]?.scheduler.getState().jobs.get('proofs')?.finished, 60, 'all items finished');
    t.equal(countRunning(fleet.hosts, 'service-prices'), 3, 'every replica runs');
  });
}

void t.test('another entry owns the cell within 5 s of the death of the owner', async t => {
  const fleet = createFleet();
  fleet.runUntil(25_000);
  fleet.killEntry(fleet.owner?.registered.name ?? '');
  fleet.runUntil(30_000);
  t.equal(fleet.owner?.mode, 'owner');
});

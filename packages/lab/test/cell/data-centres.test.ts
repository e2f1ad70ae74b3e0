import t from 'tap';
import {VirtualFleet} from '../../src/cell/index.js';
import {capacity, countRunning, createWorkload, watchPlacement} from './fixtures.js';

const dataCentres = ['west', 'east', 'north'];

function createFleet(): VirtualFleet {
  const fleet = new VirtualFleet({
    entries: dataCentres.map(dataCentre => ({name: `entry-${dataCentre}`, dataCentre})),
    hosts: dataCentres.flatMap(dataCentre =>
      [0, 1].map(number => ({
        name: `${dataCentre}-${number}`,
        dataCentre,
        rack: `rack-${number}`,
        capacity,
      })),
    ),
    getBehaviour: () => ({workMs: Number.POSITIVE_INFINITY}),
  });
  fleet.queue.after(10_000, () =>
    fleet.configure([createWorkload({name: 'stock', kind: 'watch', tasks: 12})]),
  );
  return fleet;
}

/** The owner's data centre goes silent with its hosts; returns its name. */
function isolateOwner(fleet: VirtualFleet, isKilled: boolean): string {
  const {dataCentre = '', name = ''} = fleet.owner?.registered ?? {};
  fleet.setCut(dataCentre, true);
  fleet.setStoreCut(dataCentre, true);
  if (!isKilled) return dataCentre;
  fleet.killEntry(name);
  for (const host of fleet.hosts.values()) if (host.place.dataCentre === dataCentre) host.kill();
  return dataCentre;
}

void t.test('the tasks of a lost data centre run elsewhere, none of them twice', async t => {
  const fleet = createFleet();
  const seen = watchPlacement(fleet.queue, fleet.hosts);
  fleet.runUntil(30_000);
  t.equal(countRunning(fleet.hosts, 'stock'), 12);
  isolateOwner(fleet, true);
  fleet.runUntil(60_000);
  t.equal(countRunning(fleet.hosts, 'stock'), 12);
  t.same(seen.duplicates, []);
});

void t.test(
  'an entry that does not answer the fence keeps tasks held until it is declared lost',
  async t => {
    const fleet = createFleet();
    const seen = watchPlacement(fleet.queue, fleet.hosts);
    fleet.runUntil(30_000);
    const lost = isolateOwner(fleet, true);
    const [silent = ''] = dataCentres.filter(name => name !== lost);
    fleet.setCut(silent, true);
    fleet.setStoreCut(silent, true);
    fleet.runUntil(90_000);
    const owner = fleet.owner;
    t.ok(owner, 'the last entry owns the cell');
    const before = countRunning(fleet.hosts, 'stock');
    t.ok(before < 12, 'tasks that the silent region may hold are not restarted');
    owner?.handleOwnership({kind: 'loss', name: silent});
    fleet.runUntil(130_000);
    const own = [...fleet.hosts.values()].filter(
      host => host.place.dataCentre === owner?.registered.dataCentre,
    );
    const running = own.flatMap(host => host.worker.running.map(task => task.task));
    t.equal(running.length, 8, 'the remaining hosts are full after the declaration');
    t.same(seen.duplicates, []);
  },
);

void t.test(
  'a data centre that is only cut off ends its tasks before they run elsewhere',
  async t => {
    const fleet = createFleet();
    const seen = watchPlacement(fleet.queue, fleet.hosts);
    fleet.runUntil(30_000);
    const dataCentre = isolateOwner(fleet, false);
    fleet.runUntil(90_000);
    fleet.setCut(dataCentre, false);
    fleet.setStoreCut(dataCentre, false);
    fleet.runUntil(150_000);
    t.same(seen.duplicates, []);
    t.equal(countRunning(fleet.hosts, 'stock'), 12);
  },
);

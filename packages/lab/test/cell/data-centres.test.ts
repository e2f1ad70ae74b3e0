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

/**
 * Partitions the owner's data centre from the others and from the store, and also kills the owner and the hosts of the
 * data centre if `isKilled`. Returns the name of the data centre.
 */
function isolateOwner(fleet: VirtualFleet, isKilled: boolean): string {
  const {dataCentre = '', name = ''} = fleet.owner?.registered ?? {};
  fleet.setPartitioned(dataCentre, true);
  fleet.setCutFromStore(dataCentre, true);
  if (!isKilled) return dataCentre;
  fleet.killEntry(name);
  for (const host of fleet.hosts.values()) if (host.place.dataCentre === dataCentre) host.kill();
  return dataCentre;
}

void t.test(
  'the tasks of a failed data centre are restarted elsewhere, none of them twice',
  async t => {
    const fleet = createFleet();
    const violations = watchPlacement(fleet.queue, fleet.hosts);
    fleet.runUntil(30_000);
    t.equal(countRunning(fleet.hosts, 'stock'), 12);
    isolateOwner(fleet, true);
    fleet.runUntil(60_000);
    t.equal(countRunning(fleet.hosts, 'stock'), 12);
    t.same(violations.duplicates, []);
  },
);

void t.test(
  'tasks are not restarted while an entry has not acknowledged the fence, until it is declared lost',
  async t => {
    const fleet = createFleet();
    const violations = watchPlacement(fleet.queue, fleet.hosts);
    fleet.runUntil(30_000);
    const lost = isolateOwner(fleet, true);
    const [silent = ''] = dataCentres.filter(name => name !== lost);
    fleet.setPartitioned(silent, true);
    fleet.setCutFromStore(silent, true);
    fleet.runUntil(90_000);
    const owner = fleet.owner;
    t.ok(owner, 'the last entry owns the cell');
    const before = countRunning(fleet.hosts, 'stock');
    t.ok(before < 12, 'tasks that may run in the unreachable data centre are not restarted');
    owner?.handleOwnership({kind: 'loss', name: silent});
    fleet.runUntil(130_000);
    const remainingHosts = [...fleet.hosts.values()].filter(
      host => host.place.dataCentre === owner?.registered.dataCentre,
    );
    const running = remainingHosts.flatMap(host => host.worker.running.map(task => task.task));
    t.equal(running.length, 8, 'the remaining hosts are full after the entry is declared lost');
    t.same(violations.duplicates, []);
  },
);

void t.test(
  'a partitioned data centre ends its tasks before they are restarted elsewhere',
  async t => {
    const fleet = createFleet();
    const violations = watchPlacement(fleet.queue, fleet.hosts);
    fleet.runUntil(30_000);
    const dataCentre = isolateOwner(fleet, false);
    fleet.runUntil(90_000);
    fleet.setPartitioned(dataCentre, false);
    fleet.setCutFromStore(dataCentre, false);
    fleet.runUntil(150_000);
    t.same(violations.duplicates, []);
    t.equal(countRunning(fleet.hosts, 'stock'), 12);
  },
);

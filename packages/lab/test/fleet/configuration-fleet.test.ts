import {headKey} from '@chervilbeam/coordination';
import t, {type Test} from 'tap';
import {
  ConfigurationFleet,
  createDataCentres,
  currentDataCentres,
  type FleetOptions,
  type FleetProcess,
} from '../../src/fleet/index.js';

const inForceLimitMs = 5000;

/** Creates a fleet and runs it for 3 s, so that its processes are connected and watch the store. */
function start(options: Partial<FleetOptions> = {}): ConfigurationFleet {
  const fleet = new ConfigurationFleet({dataCentres: currentDataCentres, seed: 3, ...options});
  fleet.run(3000);
  return fleet;
}

/** Returns an entry of a data centre by the rank of its incarnation; the entry of rank 0 watches the store. */
function getEntry(fleet: ConfigurationFleet, dataCentre: string, rank: number): FleetProcess {
  const entries = fleet.entries.filter(entry => entry.dataCentre === dataCentre);
  entries.sort((a, b) => a.getHello().incarnation - b.getHello().incarnation);
  return entries[rank] as FleetProcess;
}

function confirm(fleet: ConfigurationFleet, entry: FleetProcess, planId: string): void {
  fleet.confirm(entry, planId, [{kind: 'drain-host', host: planId}]);
}

function getOutcomes(fleet: ConfigurationFleet): string[] {
  return fleet.confirmations.map(confirmation => confirmation.answer.outcome);
}

/** Confirms changes through the first entry, one every 300 ms. */
function confirmMany(fleet: ConfigurationFleet, count: number): void {
  for (let index = 0; index < count; index++) {
    confirm(fleet, fleet.entries[0] as FleetProcess, `fill-${fleet.store.accepted.size}`);
    fleet.run(300);
  }
}

const cases: Array<{name: string; check: (t: Test) => void}> = [
  {
    name: 'a confirmation whose store answer is lost is accepted once, after its outcome is read from the log',
    check: t => {
      const fleet = start();
      fleet.store.faults = {...fleet.store.faults, lostAnswers: 1};
      confirm(fleet, getEntry(fleet, 'austland-1', 0), 'a');
      fleet.run(inForceLimitMs);
      t.same(getOutcomes(fleet), ['accepted']);
      t.equal(fleet.store.accepted.size, 1);
      t.ok(fleet.isInForceEverywhere());
    },
  },
  {
    name: 'a lost store answer followed by an outage is reported as unknown, never as not accepted',
    check: t => {
      const fleet = start();
      fleet.store.faults = {...fleet.store.faults, lostAnswers: 1};
      confirm(fleet, getEntry(fleet, 'vestland-1', 0), 'a');
      fleet.run(200);
      fleet.store.setDown(true);
      fleet.run(6000);
      t.same(getOutcomes(fleet), ['unknown']);
      fleet.store.setDown(false);
      fleet.run(inForceLimitMs);
      t.equal(fleet.store.accepted.get(1)?.changeId, 'a');
      fleet.store.faults = {...fleet.store.faults, lostAnswers: 0};
      confirm(fleet, getEntry(fleet, 'austland-1', 0), 'a');
      fleet.run(1000);
      t.same(getOutcomes(fleet), ['unknown', 'accepted'], 'confirming again returns the outcome');
      t.equal(fleet.store.accepted.size, 1);
    },
  },
  {
    name: 'a delayed write is refused if another change has taken its version in the log meanwhile',
    check: t => {
      const fleet = start();
      fleet.store.faults = {...fleet.store.faults, lateWrites: 1};
      confirm(fleet, getEntry(fleet, 'vestland-1', 0), 'late');
      fleet.run(200);
      fleet.store.faults = {...fleet.store.faults, lateWrites: 0};
      confirm(fleet, getEntry(fleet, 'vestland-2', 0), 'other');
      fleet.run(8000);
      t.same(getOutcomes(fleet).sort(), ['accepted', 'refused']);
      t.same(
        [...fleet.store.accepted.values()].map(change => change.changeId),
        ['other'],
      );
    },
  },
  {
    name: 'a refused confirmation lists the changes since its base version',
    check: t => {
      const fleet = start();
      confirmMany(fleet, 2);
      const entry = getEntry(fleet, 'austland-1', 1);
      fleet.confirm(entry, 'old', [{kind: 'drain-host', host: 'x'}], 1);
      fleet.run(1000);
      t.match(fleet.confirmations.at(-1)?.answer, {
        outcome: 'refused',
        difference: [{version: 2, changeId: 'fill-1'}],
      });
    },
  },
  {
    name: 'a confirmation during a store outage fails at once and nothing is accepted',
    check: t => {
      const fleet = start();
      fleet.store.setDown(true);
      confirm(fleet, getEntry(fleet, 'vestland-1', 0), 'a');
      fleet.run(500);
      t.same(getOutcomes(fleet), ['unavailable']);
      t.equal(fleet.store.accepted.size, 0);
    },
  },
  {
    name: 'a change is in force within 5 s although the watcher of a data centre was killed',
    check: t => {
      const fleet = start();
      fleet.kill(getEntry(fleet, 'austland-1', 0));
      confirm(fleet, getEntry(fleet, 'vestland-1', 0), 'a');
      fleet.run(inForceLimitMs);
      t.ok(fleet.isInForceEverywhere());
    },
  },
  {
    name: 'entries poll the store when their watcher hangs without being detected',
    check: t => {
      const fleet = start();
      fleet.kill(getEntry(fleet, 'austland-1', 0), 600_000);
      confirm(fleet, getEntry(fleet, 'vestland-1', 0), 'a');
      fleet.run(inForceLimitMs + 500);
      t.ok(fleet.isInForceEverywhere());
    },
  },
  {
    name: 'entries poll the store when their watcher is cut off from it',
    check: t => {
      const fleet = start();
      getEntry(fleet, 'austland-1', 0).isCutFromStore = true;
      fleet.run(20_000);
      confirm(fleet, getEntry(fleet, 'vestland-1', 0), 'a');
      fleet.run(inForceLimitMs);
      t.ok(fleet.isInForceEverywhere());
    },
  },
  {
    name: 'a data centre cut off from the store receives changes from an entry in another one',
    check: t => {
      const fleet = start();
      for (const rank of [0, 1]) getEntry(fleet, 'austland-1', rank).isCutFromStore = true;
      fleet.run(20_000);
      confirm(fleet, getEntry(fleet, 'vestland-1', 0), 'a');
      fleet.run(inForceLimitMs);
      t.ok(fleet.isInForceEverywhere());
    },
  },
  {
    name: 'entries that all restart during a store outage get the configuration from the agents',
    check: t => {
      const fleet = start();
      confirmMany(fleet, 3);
      fleet.store.setDown(true);
      for (const entry of fleet.entries) fleet.kill(entry);
      fleet.run(1000);
      for (const process of fleet.processes) fleet.restart(process);
      fleet.run(inForceLimitMs);
      t.same([...new Set(fleet.processes.map(process => process.version))], [3]);
    },
  },
  {
    name: 'processes that all restart during a store outage stay at version 0 until the store returns',
    check: t => {
      const fleet = start();
      confirmMany(fleet, 3);
      fleet.store.setDown(true);
      for (const process of fleet.processes) fleet.kill(process);
      fleet.run(1000);
      for (const process of fleet.processes) fleet.restart(process);
      confirm(fleet, fleet.entries[0] as FleetProcess, 'too-early');
      fleet.run(60_000);
      t.same([...new Set(fleet.processes.map(process => process.version))], [0]);
      fleet.store.setDown(false);
      fleet.run(inForceLimitMs);
      t.ok(fleet.isInForceEverywhere());
      t.equal(fleet.store.accepted.size, 3);
    },
  },
  {
    name: 'no change is appended when the store returns with an older head, as that would fork the log',
    check: t => {
      const fleet = start();
      confirmMany(fleet, 2);
      const old = fleet.store.getHead();
      confirmMany(fleet, 1);
      const text = JSON.stringify(old);
      fleet.store.state.call(
        {kind: 'write', key: headKey, text, expect: undefined},
        fleet.time.now,
      );
      confirm(fleet, fleet.entries[0] as FleetProcess, 'fork');
      fleet.run(8000);
      t.equal(getOutcomes(fleet).at(-1), 'unavailable');
      t.same([...new Set(fleet.processes.map(process => process.version))], [3]);
    },
  },
  {
    name: 'a process that was down while the log was compacted reads the snapshot',
    check: t => {
      const fleet = start({entriesPerDataCentre: 1, agentsPerDataCentre: 1});
      const entry = getEntry(fleet, 'austland-1', 0);
      fleet.kill(entry);
      confirmMany(fleet, 200);
      t.ok(fleet.getCount('configuration.compacted') > 0);
      for (const other of fleet.entries) fleet.kill(other);
      fleet.restart(entry);
      fleet.run(inForceLimitMs);
      t.equal(entry.version, 200);
      t.ok(entry.counts.get('configuration.snapshot-read'));
      t.equal(entry.view.configuration.drains.size, 200);
    },
  },
  {
    name: 'a restarted agent gets the whole configuration from one entry, not from every entry',
    check: t => {
      const fleet = start({entriesPerDataCentre: 4, agentsPerDataCentre: 1});
      confirmMany(fleet, 150);
      const agent = fleet.processes.find(process => process.role === 'agent') as FleetProcess;
      const served = fleet.getCount('configuration.served');
      fleet.kill(agent);
      fleet.run(1000);
      fleet.restart(agent);
      fleet.run(inForceLimitMs);
      t.equal(agent.version, 150);
      t.equal(fleet.getCount('configuration.served') - served, 1);
    },
  },
  {
    name: 'the confirming entry compacts a full log when there is no owner to do it',
    check: t => {
      const fleet = start({entriesPerDataCentre: 2, agentsPerDataCentre: 0});
      for (const entry of fleet.entries) entry.reduce({kind: 'compactor', isActive: false});
      confirmMany(fleet, 130);
      t.equal(fleet.store.getHead()?.version, 130);
      t.same([...new Set(getOutcomes(fleet))], ['accepted']);
      t.ok((fleet.store.getHead()?.snapshot?.version ?? 0) >= 100);
    },
  },
  ...[true, false].map(hasOwner => ({
    name: `large changes do not fill the head permanently, ${hasOwner ? 'with' : 'without'} an owner`,
    check: (t: Test) => {
      const fleet = start({agentsPerDataCentre: 0, isOwnerRemote: true});
      for (const entry of fleet.entries) {
        if (!hasOwner) entry.reduce({kind: 'compactor', isActive: false});
      }
      const hosts = Array.from({length: 1000}, (_, index) => `host-${index}`.padEnd(60, 'x'));
      for (let index = 0; index < 20; index++) {
        const kind = index % 2 === 0 ? ('drain-host' as const) : ('undrain-host' as const);
        const operations = hosts.map(host => ({kind, host}));
        fleet.confirm(fleet.entries[0] as FleetProcess, `large-${index}`, operations);
        fleet.run(2000);
      }
      t.same([...new Set(getOutcomes(fleet))], ['accepted']);
      t.equal(fleet.store.getHead()?.version, 20);
      t.ok(JSON.stringify(fleet.store.getHead()).length < 600_000);
      t.ok(fleet.isInForceEverywhere());
    },
  })),
  {
    name: 'the owner also compacts changes that the watcher relays to it, or the head would grow with each',
    check: t => {
      const fleet = start({compactAtChanges: 10});
      const owner = fleet.entries[0] as FleetProcess;
      const watcher = getEntry(fleet, owner.dataCentre, 0);
      const others = fleet.entries.filter(entry => entry !== owner && entry !== watcher);
      for (let index = 0; index < 40; index++) {
        confirm(fleet, others[index % others.length] as FleetProcess, `change-${index}`);
        fleet.run(500);
      }
      t.equal(fleet.store.accepted.size, 40);
      t.ok((fleet.store.getHead()?.changes.length ?? 99) < 20);
    },
  },
  {
    name: 'calls of 48 entries are spread over 2 s when the store returns, to avoid a thundering herd',
    check: t => {
      const fleet = start({dataCentres: createDataCentres(24, 7), agentsPerDataCentre: 0});
      fleet.store.setDown(true);
      fleet.run(60_000);
      const returnedAt = fleet.time.now;
      fleet.store.setDown(false);
      fleet.run(3000);
      const busiest = fleet.store.getPeakCalls(returnedAt, returnedAt + 2500);
      t.ok(busiest <= 12, `busiest 100 ms after the return: ${busiest} calls`);
      t.ok(fleet.entries.every(entry => entry.counts.get('configuration.store-failed')));
      t.equal(fleet.store.state.counts.limited, 0);
    },
  },
];

for (const testCase of cases) {
  void t.test(testCase.name, async t => testCase.check(t));
}

import fc from 'fast-check';
import t from 'tap';
import {
  applyChange,
  applyOperations,
  emptyConfiguration,
  getDifference,
  type Configuration,
  type ConfigurationOperation,
} from '../../src/configuration/index.js';
import {joinSnapshot, splitSnapshot} from '../../src/configuration/view/snapshot.js';

const names = fc.constantFrom('a', 'b', 'c', 'd', 'e');
const resources = fc.record({
  processors: fc.nat(1000),
  memoryMb: fc.nat(1000),
  accelerators: fc.nat(2),
  slots: fc.nat(8),
});
const operations: fc.Arbitrary<ConfigurationOperation> = fc.oneof(
  fc.record({
    kind: fc.constant('put-workload' as const),
    workload: fc.record({
      kind: fc.constantFrom('service' as const, 'batch' as const, 'watch' as const),
      name: names,
      team: names,
      urgency: fc.constantFrom('critical' as const, 'normal' as const),
      grant: fc.record({slots: fc.nat(9), processors: fc.nat(9)}),
      resources,
      tasks: fc.nat(9),
    }),
  }),
  fc.record({kind: fc.constant('remove-workload' as const), name: names}),
  fc.record({
    kind: fc.constant('put-team' as const),
    team: fc.record({name: names, quota: resources, weight: fc.nat(5)}),
  }),
  fc.record({kind: fc.constant('remove-team' as const), name: names}),
  fc.record({kind: fc.constant('drain-host' as const), host: names}),
  fc.record({kind: fc.constant('undrain-host' as const), host: names}),
);
const configurations = fc
  .array(operations, {maxLength: 30})
  .map(list => applyOperations(emptyConfiguration, list, 7));

function toComparable(configuration: Configuration): unknown {
  const {version, workloads, teams, drains} = configuration;
  const byName = (map: ReadonlyMap<string, unknown>) =>
    [...map].sort(([a], [b]) => (a < b ? -1 : 1));
  return {version, workloads: byName(workloads), teams: byName(teams), drains: [...drains].sort()};
}

void t.test(
  'applying the difference of two configurations gives the target, so that no operation is lost',
  async t => {
    fc.assert(
      fc.property(configurations, configurations, (from, to) => {
        const result = applyOperations(from, getDifference(from, to), to.version);
        t.same(toComparable(result), toComparable(to));
        t.same(getDifference(to, result), []);
      }),
      {seed: 1, numRuns: 100},
    );
  },
);

void t.test(
  'snapshot parts join to the same configuration and stay within the size limit',
  async t => {
    fc.assert(
      fc.property(configurations, fc.integer({min: 400, max: 2000}), (configuration, limit) => {
        const parts = splitSnapshot(configuration, limit);
        for (const part of parts) t.ok(JSON.stringify(part).length <= limit);
        const joined = joinSnapshot(7, JSON.parse(JSON.stringify(parts)) as unknown[]);
        t.same(joined && toComparable(joined), toComparable(configuration));
        t.equal(
          joinSnapshot(7, [...parts.slice(1), null]),
          undefined,
          'an emptied part is detected',
        );
      }),
      {seed: 2, numRuns: 50},
    );
  },
);

void t.test(
  'a change that is not the next version throws, so that no change is skipped',
  async t => {
    const change = {version: 2, changeId: 'x', author: 'a', operations: []};
    t.throws(() => applyChange(emptyConfiguration, change), {name: 'VersionGapError'});
  },
);

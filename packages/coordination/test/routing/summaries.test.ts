import t from 'tap';
import type {ServiceSummary, Summary} from '../../src/messages/control.js';
import {mergeSummary, Summaries} from '../../src/routing/summaries.js';

type Services = Readonly<Record<string, readonly [hosts: number, slots: number]>>;

function toMap(services: Services): Map<string, ServiceSummary> {
  return new Map(
    Object.entries(services).map(([service, [hosts, slots]]) => [service, {service, hosts, slots}]),
  );
}

const cases: ReadonlyArray<{guards: string; steps: readonly Services[]; sent: readonly number[]}> =
  [
    {guards: 'what is unchanged is sent again', steps: [{a: [1, 8]}, {a: [1, 8]}], sent: [1, 0]},
    {
      guards: 'one change sends everything',
      steps: [
        {a: [1, 8], b: [1, 8]},
        {a: [2, 16], b: [1, 8]},
      ],
      sent: [2, 1],
    },
    {
      guards: 'a service that is gone keeps its place',
      steps: [{a: [1, 8], b: [1, 8]}, {b: [1, 8]}],
      sent: [2, 1],
    },
    {
      guards: 'a service that comes back is not told',
      steps: [{a: [1, 8]}, {}, {a: [1, 8]}],
      sent: [1, 1, 1],
    },
  ];

void t.test('a peer that hears the changes knows the services as they are', async t => {
  for (const {guards, steps, sent} of cases) {
    const summaries = new Summaries('south-1');
    let early: Summary | undefined = summaries.getFullSummary();
    const counts: number[] = [];
    for (const services of steps) {
      const message = summaries.update(toMap(services));
      counts.push(message?.services.length ?? 0);
      if (message) early = mergeSummary(early, message);
      const expected = [...toMap(services).values()];
      const byName = (a: ServiceSummary, b: ServiceSummary) => (a.service < b.service ? -1 : 1);
      t.same([...(early?.services ?? [])].sort(byName), expected, guards);
      t.same(
        [...summaries.getFullSummary().services].sort(byName),
        expected,
        `${guards}: new peer`,
      );
    }
    t.same(counts, sent, `${guards}: services sent`);
  }
});

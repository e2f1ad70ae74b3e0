import t from 'tap';
import type {ServiceSummary, Summary} from '../../src/messages/control.js';
import {mergeSummary, SummaryTracker} from '../../src/routing/summaries.js';

type Services = Readonly<Record<string, readonly [hosts: number, slots: number]>>;

function toMap(services: Services): Map<string, ServiceSummary> {
  return new Map(
    Object.entries(services).map(([service, [hosts, slots]]) => [service, {service, hosts, slots}]),
  );
}

const cases: ReadonlyArray<{guards: string; steps: readonly Services[]; sent: readonly number[]}> =
  [
    {guards: 'an unchanged service is sent again', steps: [{a: [1, 8]}, {a: [1, 8]}], sent: [1, 0]},
    {
      guards: 'a change of one service sends all services',
      steps: [
        {a: [1, 8], b: [1, 8]},
        {a: [2, 16], b: [1, 8]},
      ],
      sent: [2, 1],
    },
    {
      guards: 'a removed service stays in the summary of peers',
      steps: [{a: [1, 8], b: [1, 8]}, {b: [1, 8]}],
      sent: [2, 1],
    },
    {
      guards: 'a service that returns is not sent',
      steps: [{a: [1, 8]}, {}, {a: [1, 8]}],
      sent: [1, 1, 1],
    },
  ];

void t.test('a peer that applies the partial summaries has the current services', async t => {
  for (const {guards, steps, sent} of cases) {
    const tracker = new SummaryTracker('south-1');
    let peerSummary: Summary | undefined = tracker.getFullSummary();
    const counts: number[] = [];
    for (const services of steps) {
      const message = tracker.update(toMap(services));
      counts.push(message?.services.length ?? 0);
      if (message) peerSummary = mergeSummary(peerSummary, message);
      const expected = [...toMap(services).values()];
      const byName = (a: ServiceSummary, b: ServiceSummary) => (a.service < b.service ? -1 : 1);
      t.same([...(peerSummary?.services ?? [])].sort(byName), expected, guards);
      t.same([...tracker.getFullSummary().services].sort(byName), expected, `${guards}: new peer`);
    }
    t.same(counts, sent, `${guards}: services sent`);
  }
});

import type {Resources} from '@chervilbeam/coordination';
import {type History} from '../history.js';
import type {Violation} from '../promise.js';

const dimensions = ['processors', 'memoryMb', 'accelerators', 'slots'] as const;

/** P1: at no moment do the runs on a host need more than it has, nor its exchanges more than its slots. */
export function checkHostLimits(history: History): Violation[] {
  const capacities = new Map<string, Resources>();
  const used = new Map<string, Record<(typeof dimensions)[number], number>>();
  const exchanges = new Map<string, Set<string>>();
  const hostOf = new Map<string, string>();
  const running = new Map<string, Resources>();
  const violations: Violation[] = [];
  for (const event of history.events) {
    if (event.kind === 'host-capacity') {
      capacities.set(event.host, event.capacity);
    } else if (event.kind === 'run-started' || event.kind === 'run-ended') {
      const key = `${event.host}/${event.task}#${event.attempt}`;
      const sign = event.kind === 'run-started' ? 1 : -1;
      if (event.kind === 'run-started') running.set(key, event.resources);
      const resources = running.get(key);
      if (!resources) continue;
      if (sign < 0) running.delete(key);
      const sum = used.get(event.host) ?? {processors: 0, memoryMb: 0, accelerators: 0, slots: 0};
      used.set(event.host, sum);
      const capacity = capacities.get(event.host);
      for (const dimension of dimensions) {
        sum[dimension] += sign * resources[dimension];
        if (sign < 0 || !capacity || sum[dimension] <= capacity[dimension]) continue;
        violations.push({
          promise: 'host-limits',
          at: event.at,
          subject: event.host,
          detail: `${dimension} ${sum[dimension]} of ${capacity[dimension]} with ${event.task}`,
        });
      }
    } else if (event.kind === 'exchange-started') {
      const open = exchanges.get(event.host) ?? new Set();
      exchanges.set(event.host, open.add(event.exchange));
      hostOf.set(event.exchange, event.host);
      const slots = capacities.get(event.host)?.slots ?? Infinity;
      if (open.size <= slots) continue;
      violations.push({
        promise: 'host-limits',
        at: event.at,
        subject: event.host,
        detail: `${open.size} exchanges with ${slots} slots`,
      });
    } else if (event.kind === 'exchange-ended') {
      exchanges.get(hostOf.get(event.exchange) ?? '')?.delete(event.exchange);
    }
  }
  return violations;
}

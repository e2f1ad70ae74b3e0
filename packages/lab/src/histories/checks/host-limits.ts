import type {Resources} from '@chervilbeam/coordination';
import {type History} from '../history.js';
import type {Violation} from '../promise.js';

const dimensions = ['processors', 'memoryMb', 'accelerators', 'slots'] as const;

/** P1: the runs on a host never need more than its capacity, and it never has more open exchanges than slots. */
export function checkHostLimits(history: History): Violation[] {
  const capacities = new Map<string, Resources>();
  const usedByHost = new Map<string, Record<(typeof dimensions)[number], number>>();
  const openExchangesByHost = new Map<string, Set<string>>();
  const hostByExchange = new Map<string, string>();
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
      const hostUsage = usedByHost.get(event.host) ?? {
        processors: 0,
        memoryMb: 0,
        accelerators: 0,
        slots: 0,
      };
      usedByHost.set(event.host, hostUsage);
      const capacity = capacities.get(event.host);
      for (const dimension of dimensions) {
        hostUsage[dimension] += sign * resources[dimension];
        if (sign < 0 || !capacity || hostUsage[dimension] <= capacity[dimension]) continue;
        violations.push({
          promise: 'host-limits',
          at: event.at,
          subject: event.host,
          detail: `${dimension} ${hostUsage[dimension]} of ${capacity[dimension]} with ${event.task}`,
        });
      }
    } else if (event.kind === 'exchange-started') {
      const openExchanges = openExchangesByHost.get(event.host) ?? new Set();
      openExchangesByHost.set(event.host, openExchanges.add(event.exchange));
      hostByExchange.set(event.exchange, event.host);
      const slots = capacities.get(event.host)?.slots ?? Infinity;
      if (openExchanges.size <= slots) continue;
      violations.push({
        promise: 'host-limits',
        at: event.at,
        subject: event.host,
        detail: `${openExchanges.size} open exchanges with ${slots} slots`,
      });
    } else if (event.kind === 'exchange-ended') {
      openExchangesByHost.get(hostByExchange.get(event.exchange) ?? '')?.delete(event.exchange);
    }
  }
  return violations;
}

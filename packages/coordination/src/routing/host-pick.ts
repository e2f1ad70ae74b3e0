import type {Host} from '../membership/host-view.js';
import type {SeededRandom} from './seeded-random.js';

/** Load balancing policy: picks one of several hosts with free capacity. */
export interface HostPick {
  /** Returns one of the hosts, or undefined when there is none. */
  pick(hosts: readonly Host[], random: SeededRandom): Host | undefined;
}

/** Estimated load of a host as a fraction of its slots. */
export function getLoad(host: Host): number {
  const slots = Math.max(1, host.announce?.slots ?? 1);
  const estimatedInFlight = Math.max(
    host.outstanding,
    host.reportedInFlight + host.sentSinceReport,
  );
  return estimatedInFlight / slots;
}

/** Slowness up to which a host counts as normal; the estimate over few answers varies by about a third. */
const maxNormalSlowness = 1.5;

/** Relative expected latency of one more request at a host; a slow host is used when the faster ones are loaded. */
export function getCost(host: Host): number {
  const slowness = host.slowness <= maxNormalSlowness ? 1 : host.slowness;
  return (1 + getLoad(host)) * slowness;
}

/**
 * Power of two choices: the cheaper of two random hosts, so that entries with the same stale report do not all pick the
 * same host.
 */
export class TwoChoicePick implements HostPick {
  /** Returns one of the hosts, or undefined when there is none. */
  pick(hosts: readonly Host[], random: SeededRandom): Host | undefined {
    if (hosts.length < 2) return hosts[0];
    const first = random.nextInteger(hosts.length);
    let second = random.nextInteger(hosts.length - 1);
    if (second >= first) second += 1;
    const a = hosts[first]!;
    const b = hosts[second]!;
    return getCost(a) <= getCost(b) ? a : b;
  }
}

/** Baseline for measurements: a random host. */
export class RandomPick implements HostPick {
  /** Returns one of the hosts, or undefined when there is none. */
  pick(hosts: readonly Host[], random: SeededRandom): Host | undefined {
    return hosts[random.nextInteger(Math.max(1, hosts.length))];
  }
}

/**
 * Baseline for measurements: the host with the least reported load. Entries with the same stale report all pick the
 * same host.
 */
export class LeastReportedPick implements HostPick {
  /** Returns one of the hosts, or undefined when there is none. */
  pick(hosts: readonly Host[]): Host | undefined {
    let best = hosts[0];
    for (const host of hosts) {
      if (host.reportedInFlight < best!.reportedInFlight) best = host;
    }
    return best;
  }
}

import type {Host, HostView} from '../membership/host-view.js';
import type {SeededRandom} from './seeded-random.js';

/** Chooses hosts by the power of two choices, which avoids herding on stale load reports. */
export class HostChoice {
  constructor(
    private readonly hosts: HostView,
    private readonly random: SeededRandom,
    private readonly dataCentre: string,
  ) {}

  /** Whether any host may receive work of a service, whatever its load. */
  isServed(service: string): boolean {
    for (const host of this.hosts.getHosts()) {
      if (this.hosts.isUsable(host, service)) return true;
    }
    return false;
  }

  /** Chooses a host with room for a service, or undefined when there is none. */
  choose(service: string, at: number, excluded?: ReadonlySet<string>): Host | undefined {
    const local: Host[] = [];
    const remote: Host[] = [];
    for (const host of this.hosts.getHosts()) {
      if (host.outstanding >= getAllowed(host) || host.heldUntil > at) continue;
      if (!this.hosts.isUsable(host, service) || excluded?.has(host.peer)) continue;
      (host.hello.dataCentre === this.dataCentre ? local : remote).push(host);
    }
    const near = this.pickOfTwo(local);
    const far = this.pickOfTwo(remote);
    if (!near || !far) return near ?? far;
    // Work spills when the queue at the local host costs more than the longer way.
    return getLoad(near) <= Math.max(1, getLoad(far)) ? near : far;
  }

  private pickOfTwo(hosts: readonly Host[]): Host | undefined {
    if (hosts.length < 2) return hosts[0];
    const first = this.random.nextInteger(hosts.length);
    let second = this.random.nextInteger(hosts.length - 1);
    if (second >= first) second += 1;
    const a = hosts[first]!;
    const b = hosts[second]!;
    return getLoad(a) <= getLoad(b) ? a : b;
  }
}

/** Own attempts that may be outstanding at a host at once. */
export function getAllowed(host: Host): number {
  return Math.min(host.window, host.limit.getLimit());
}

/** Estimated load of a host as a fraction of its slots. */
export function getLoad(host: Host): number {
  const slots = Math.max(1, host.announce?.slots ?? 1);
  const known = Math.max(host.outstanding, host.reportedInFlight + host.sentSinceReport);
  return known / slots;
}

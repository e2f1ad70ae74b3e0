import type {Host, HostView} from '../membership/host-view.js';
import {getLoad, type HostPick} from './host-pick.js';
import type {SeededRandom} from './seeded-random.js';

/** Chooses hosts: those of the own data centre first, others when the local ones are loaded. */
export class HostChoice {
  constructor(
    private readonly hosts: HostView,
    private readonly random: SeededRandom,
    private readonly dataCentre: string,
    private readonly pick: HostPick,
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
    const near = this.pick.pick(local, this.random);
    const far = this.pick.pick(remote, this.random);
    if (!near || !far) return near ?? far;
    // Work spills when the queue at the local host costs more than the longer way.
    return getLoad(near) <= Math.max(1, getLoad(far)) ? near : far;
  }
}

/** Own attempts that may be outstanding at a host at once. */
export function getAllowed(host: Host): number {
  return Math.min(host.window, host.limit.getLimit());
}

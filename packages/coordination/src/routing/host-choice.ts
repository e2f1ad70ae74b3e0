import {isFailing, type Host, type HostView} from '../membership/host-view.js';
import {getCost, type HostPick} from './host-pick.js';
import type {SeededRandom} from './seeded-random.js';

/**
 * Cost by which a host elsewhere must be cheaper: half the time of a request at an idle host, so that work does not
 * spill for less than the round trip between data centres is worth.
 */
const spillMargin = 0.5;

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
  choose(
    service: string,
    at: number,
    idempotent: boolean,
    excluded?: ReadonlySet<string>,
  ): Host | undefined {
    const usable: Host[] = [];
    let failing = 0;
    for (const host of this.hosts.getHosts()) {
      if (!this.hosts.isUsable(host, service)) continue;
      usable.push(host);
      if (isFailing(host)) failing += 1;
    }
    // When most hosts fail, the fault is elsewhere and leaving them out would only overload the others.
    const careful = failing * 2 <= usable.length;
    const local: Host[] = [];
    const remote: Host[] = [];
    for (const host of usable) {
      if (excluded?.has(host.peer) || !hasRoom(host, careful, idempotent, at)) continue;
      (host.hello.dataCentre === this.dataCentre ? local : remote).push(host);
    }
    const near = this.pick.pick(local, this.random);
    const far = this.pick.pick(remote, this.random);
    if (!near || !far) return near ?? far;
    return getCost(near) <= getCost(far) + spillMargin ? near : far;
  }
}

function hasRoom(host: Host, careful: boolean, idempotent: boolean, at: number): boolean {
  if (!careful || !isFailing(host))
    return host.outstanding < getAllowed(host) && (host.heldUntil <= at || !careful);
  return idempotent && host.outstanding === 0 && host.heldUntil <= at;
}

/** Own attempts that may be outstanding at a host at once. */
export function getAllowed(host: Host): number {
  return Math.min(host.window, host.limit.getLimit());
}

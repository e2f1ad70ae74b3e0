import {isFailing, type Host, type HostView} from '../membership/host-view.js';
import {getCost, type HostPick} from './host-pick.js';
import type {SeededRandom} from './seeded-random.js';

/**
 * Cost by which a host in another data centre must be cheaper to be chosen: half the time of a request on an idle
 * host, so that requests do not spill over for a gain smaller than the round trip between data centres.
 */
const spilloverMargin = 0.5;

/** Chooses hosts of the local data centre first, and hosts of others when the local ones are loaded. */
export class HostChoice {
  constructor(
    private readonly hosts: HostView,
    private readonly random: SeededRandom,
    private readonly dataCentre: string,
    private readonly hostPick: HostPick,
  ) {}

  /** Whether any host may receive requests of a service, regardless of load. */
  hasUsableHost(service: string): boolean {
    for (const host of this.hosts.getHosts()) {
      if (this.hosts.isUsable(host, service)) return true;
    }
    return false;
  }

  /** Chooses a host with free capacity for a service, or returns undefined when there is none. */
  choose(
    service: string,
    at: number,
    idempotent: boolean,
    excluded?: ReadonlySet<string>,
  ): Host | undefined {
    const usable: Host[] = [];
    let failingCount = 0;
    for (const host of this.hosts.getHosts()) {
      if (!this.hosts.isUsable(host, service)) continue;
      usable.push(host);
      if (isFailing(host)) failingCount += 1;
    }
    // When most hosts fail, the fault is probably elsewhere and ejecting them would only overload the others.
    const avoidsFailing = failingCount * 2 <= usable.length;
    const local: Host[] = [];
    const remote: Host[] = [];
    for (const host of usable) {
      if (excluded?.has(host.peer) || !canAccept(host, avoidsFailing, idempotent, at)) continue;
      (host.hello.dataCentre === this.dataCentre ? local : remote).push(host);
    }
    const bestLocal = this.hostPick.pick(local, this.random);
    const bestRemote = this.hostPick.pick(remote, this.random);
    if (!bestLocal || !bestRemote) return bestLocal ?? bestRemote;
    return getCost(bestLocal) <= getCost(bestRemote) + spilloverMargin ? bestLocal : bestRemote;
  }
}

/** Whether a host has capacity. A failing host is probed with one idempotent request at a time after its backoff. */
function canAccept(host: Host, avoidsFailing: boolean, idempotent: boolean, at: number): boolean {
  if (!avoidsFailing || !isFailing(host))
    return host.outstanding < getAttemptLimit(host) && (host.backoffUntil <= at || !avoidsFailing);
  return idempotent && host.outstanding === 0 && host.backoffUntil <= at;
}

/** Maximum number of attempts that this entry may have outstanding at a host. */
export function getAttemptLimit(host: Host): number {
  return Math.min(host.creditLimit, host.limit.getLimit());
}

import {HostView, type Host} from '../membership/host-view.js';
import {PeerView, type PeerEntry} from '../membership/peer-view.js';
import type {Hello, ServiceSummary} from '../messages/control.js';
import {HostChoice} from './host-choice.js';
import type {HostPick} from './host-pick.js';
import {SeededRandom} from './seeded-random.js';
import type {Attempt} from '../requests/pending-request.js';

/** Upper bound of the estimated one-way network time, because the minimum latency includes the service time. */
const maxOneWayMs = 40;

/** Upper bound of the latency ratio of one answer, so that a single slow answer does not dominate the estimate. */
const maxSlowness = 10;

/** Options of `EntryRoutes`. */
export interface RouteOptions {
  readonly dataCentre: string;
  readonly region: string;
  readonly seed: number;
  readonly learnLimits: boolean;
  readonly hostPick: HostPick;
}

/** Destination of an attempt: a connected host or another entry. */
export type Target =
  | {readonly via: 'dispatch'; readonly host: Host}
  | {readonly via: 'forward'; readonly peer: PeerEntry};

/** Hosts and other entries that an entry can send requests to, and the load balancing between them. */
export class EntryRoutes {
  readonly hosts = new HostView();
  readonly peers = new PeerView();
  private readonly random: SeededRandom;
  private readonly hostChoice: HostChoice;
  /** Moving average of the answer latency of all hosts, by service. */
  private readonly averageLatenciesMs = new Map<string, number>();

  constructor(private readonly options: RouteOptions) {
    this.random = new SeededRandom(options.seed);
    this.hostChoice = new HostChoice(this.hosts, this.random, options.dataCentre, options.hostPick);
  }

  /** Whether any host or entry could serve a request of a service, regardless of load. */
  isServed(service: string, mayForward: boolean): boolean {
    if (this.hostChoice.hasUsableHost(service)) return true;
    return mayForward && this.getPeersWithService(service).length > 0;
  }

  /** Chooses a target with free capacity: a connected host, or another entry if no usable host is connected. */
  choose(
    service: string,
    at: number,
    mayForward: boolean,
    idempotent: boolean,
    excluded: ReadonlySet<string>,
  ): Target | undefined {
    const host = this.hostChoice.choose(service, at, idempotent, excluded);
    if (host) return {via: 'dispatch', host};
    if (!mayForward || this.hostChoice.hasUsableHost(service)) return undefined;
    const candidates = this.getPeersWithService(service).filter(
      peer =>
        this.peers.getWindow(peer, service).canSend() &&
        (peer.backoffUntil.get(service) ?? 0) <= at &&
        !excluded.has(peer.peer),
    );
    const peer = this.pickPeer(candidates, service);
    return peer && {via: 'forward', peer};
  }

  /** Counts an attempt as outstanding at its target. */
  begin(target: Target, service: string): void {
    if (target.via === 'forward') {
      this.peers.getWindow(target.peer, service).outstanding += 1;
      return;
    }
    target.host.outstanding += 1;
    target.host.sentSinceReport += 1;
  }

  /** Counts an attempt as no longer outstanding, unless its target has restarted since. */
  end(attempt: Attempt, service: string): void {
    if (attempt.via === 'forward') {
      const peer = this.peers.getPeer(attempt.peer);
      if (peer && peer.hello.incarnation === attempt.incarnation)
        this.peers.getWindow(peer, service).outstanding -= 1;
      return;
    }
    const host = this.hosts.getHost(attempt.peer);
    if (host && host.hello.incarnation === attempt.incarnation) host.outstanding -= 1;
  }

  /** Updates limits, latency and health of the target from the answer to an attempt; call `end` first. */
  recordResult(
    attempt: Attempt,
    service: string,
    result: 'reply' | 'rejected' | 'failed' | 'cancelled',
    credit: number,
    at: number,
  ): void {
    const latencyMs = at - attempt.sentAt;
    const peer = this.peers.getPeer(attempt.peer);
    if (attempt.via === 'forward') {
      if (!peer) return;
      this.peers.getWindow(peer, service).adapt(credit, latencyMs, at);
      peer.minimumLatencyMs = Math.min(peer.minimumLatencyMs ?? Infinity, latencyMs);
      return;
    }
    const host = this.hosts.getHost(attempt.peer);
    if (!host) return;
    host.creditLimit = Math.max(1, host.outstanding + credit);
    host.lastSeenAt = at;
    const {learnLimits} = this.options;
    if (result === 'rejected' && learnLimits) host.limit.addDrop();
    if (result === 'failed') this.hosts.recordFailure(host, at);
    if (result !== 'reply') return;
    this.hosts.recordSuccess(host);
    this.updateSlowness(host, service, latencyMs);
    if (learnLimits) host.limit.addSample(service, latencyMs, attempt.inFlightWhenSent);
    host.latencyMs += (latencyMs - host.latencyMs) * (host.latencyMs === 0 ? 1 : 0.1);
  }

  /** Incarnation and load of the target of an attempt. */
  getTargetState(target: Target): {peer: string; hello: Hello; outstanding: number} {
    if (target.via === 'dispatch') return target.host;
    return {...target.peer, outstanding: 0};
  }

  /** Moves the slowness of a host 5% back to normal, so that a host that recovered receives requests again. */
  decaySlowness(peer: string): void {
    const host = this.hosts.getHost(peer);
    if (host) host.slowness += (1 - host.slowness) * 0.05;
  }

  /** Estimated one-way network time in milliseconds to the target of an attempt; its deadline is shortened by it. */
  estimateOneWayMs(attempt: Attempt): number {
    if (attempt.via === 'dispatch') {
      // At most 2 ms, because the latency of a host includes the service time; 1 ms before its first answer.
      const host = this.hosts.getHost(attempt.peer);
      return host && host.latencyMs > 0 ? Math.min(2, host.latencyMs / 2) : 1;
    }
    const peer = this.peers.getPeer(attempt.peer);
    return Math.min(maxOneWayMs, (peer?.minimumLatencyMs ?? maxOneWayMs) / 2);
  }

  /** Returns how many requests this entry may have in flight, and the total slots that the grants are scaled to. */
  getCapacity(): {available: number; slots: number} {
    const slots = this.hosts.getSlots();
    if (slots > 0) {
      const entries = 1 + this.peers.countConnected(this.options.region);
      // Requests in flight include those on the network and in the short queue of an agent, so under load they exceed
      // the slots; shares of the slots alone would be too small for the requests counted against them.
      let outstanding = 0;
      for (const host of this.hosts.getHosts()) outstanding += host.outstanding;
      return {available: Math.max(slots / entries, outstanding), slots};
    }
    let remoteSlots = 0;
    for (const peer of this.peers.getPeers()) {
      if (!peer.connected || peer.hello.region === this.options.region) continue;
      for (const s of peer.summary?.services ?? []) remoteSlots = Math.max(remoteSlots, s.slots);
    }
    return {available: remoteSlots, slots: remoteSlots};
  }

  /** Number of usable hosts and their slots, by service. */
  getServices(): ReadonlyMap<string, ServiceSummary> {
    const services = new Map<string, ServiceSummary>();
    for (const host of this.hosts.getHosts()) {
      for (const service of host.announce?.services ?? []) {
        if (!this.hosts.isUsable(host, service)) continue;
        const {hosts, slots} = services.get(service) ?? {hosts: 0, slots: 0};
        services.set(service, {service, hosts: hosts + 1, slots: slots + host.announce!.slots});
      }
    }
    return services;
  }

  private updateSlowness(host: Host, service: string, latencyMs: number): void {
    const averageMs = this.averageLatenciesMs.get(service) ?? latencyMs;
    this.averageLatenciesMs.set(service, averageMs + (latencyMs - averageMs) * 0.01);
    const ratio = Math.min(maxSlowness, latencyMs / Math.max(averageMs, 0.1));
    host.slowness += (ratio - host.slowness) * 0.05;
  }

  private getPeersWithService(service: string): PeerEntry[] {
    const sameRegion: PeerEntry[] = [];
    const otherRegions: PeerEntry[] = [];
    for (const peer of this.peers.getPeers()) {
      if (!this.peers.hasService(peer, service)) continue;
      (peer.hello.region === this.options.region ? sameRegion : otherRegions).push(peer);
    }
    return sameRegion.length > 0 ? sameRegion : otherRegions;
  }

  private pickPeer(peers: readonly PeerEntry[], service: string): PeerEntry | undefined {
    if (peers.length < 2) return peers[0];
    const a = peers[this.random.nextInteger(peers.length)]!;
    const b = peers[this.random.nextInteger(peers.length)]!;
    const getPeerLoad = (peer: PeerEntry) => this.peers.getWindow(peer, service).getLoad();
    return getPeerLoad(a) <= getPeerLoad(b) ? a : b;
  }
}

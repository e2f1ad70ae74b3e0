import {HostView, type Host} from '../membership/host-view.js';
import {PeerView, type PeerEntry} from '../membership/peer-view.js';
import type {Hello, ServiceSummary} from '../messages/control.js';
import {HostChoice} from './host-choice.js';
import type {HostPick} from './host-pick.js';
import {SeededRandom} from './seeded-random.js';
import type {Attempt} from '../requests/pending-request.js';

/** Bound on the estimated one-way time, because the least latency also holds the service time. */
const maxOneWayMs = 40;

/** Bound on the effect of one slow answer on the speed of its host. */
const maxSlowness = 10;

/** Options of `EntryRoutes`. */
export interface RouteOptions {
  readonly dataCentre: string;
  readonly region: string;
  readonly seed: number;
  readonly learnLimits: boolean;
  readonly hostPick: HostPick;
}

/** Where an attempt is sent. */
export type Target =
  | {readonly via: 'dispatch'; readonly host: Host}
  | {readonly via: 'forward'; readonly peer: PeerEntry};

/** Hosts and entries that an entry can send to, and the choice between them. */
export class EntryRoutes {
  readonly hosts = new HostView();
  readonly peers = new PeerView();
  private readonly random: SeededRandom;
  private readonly hostChoice: HostChoice;
  /** Smoothed latency of the answers of agents by service. */
  private readonly averageLatenciesMs = new Map<string, number>();

  constructor(private readonly options: RouteOptions) {
    this.random = new SeededRandom(options.seed);
    this.hostChoice = new HostChoice(this.hosts, this.random, options.dataCentre, options.hostPick);
  }

  /** Whether anything could serve a request of a service, whatever its load. */
  isServed(service: string, mayForward: boolean): boolean {
    if (this.hostChoice.hasUsableHost(service)) return true;
    return mayForward && this.getPeersWithService(service).length > 0;
  }

  /** Chooses a target with room: a connected host, or an entry elsewhere if there is no host at all. */
  choose(
    service: string,
    at: number,
    mayForward: boolean,
    idempotent: boolean,
    avoided: ReadonlySet<string>,
  ): Target | undefined {
    const host = this.hostChoice.choose(service, at, idempotent, avoided);
    if (host) return {via: 'dispatch', host};
    if (!mayForward || this.hostChoice.hasUsableHost(service)) return undefined;
    const candidates = this.getPeersWithService(service).filter(
      peer =>
        this.peers.getWindow(peer, service).canSend() &&
        (peer.heldUntil.get(service) ?? 0) <= at &&
        !avoided.has(peer.peer),
    );
    const peer = this.pickPeer(candidates, service);
    return peer && {via: 'forward', peer};
  }

  /** Counts an attempt at its target. */
  begin(target: Target, service: string): void {
    if (target.via === 'forward') {
      this.peers.getWindow(target.peer, service).outstanding += 1;
      return;
    }
    target.host.outstanding += 1;
    target.host.sentSinceReport += 1;
  }

  /** Ends an attempt at its target. */
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

  /** Learns from the answer to an attempt that was ended before. */
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

  /** Takes back a part of what was learned of the speed of a host, so that one that recovered is tried again. */
  decaySlowness(peer: string): void {
    const host = this.hosts.getHost(peer);
    if (host) host.slowness += (1 - host.slowness) * 0.05;
  }

  /** Estimated one-way time to the target of an attempt, by which its deadline is shortened. */
  estimateOneWayMs(attempt: Attempt): number {
    if (attempt.via === 'dispatch') {
      const host = this.hosts.getHost(attempt.peer);
      return host && host.latencyMs > 0 ? Math.min(2, host.latencyMs / 2) : 1;
    }
    const peer = this.peers.getPeer(attempt.peer);
    return Math.min(maxOneWayMs, (peer?.minimumLatencyMs ?? maxOneWayMs) / 2);
  }

  /** Requests that this entry may have in flight, and the slots of the hosts behind it. */
  getCapacity(): {available: number; slots: number} {
    const slots = this.hosts.getSlots();
    if (slots > 0) {
      const entries = 1 + this.peers.countConnected(this.options.region);
      // Requests in flight also are on the way or in the short queue of an agent, so under load there are more of them
      // than slots; shares of the slots alone would be too small for what is counted against them.
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

  /** Hosts and slots by service of the connected hosts. */
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
    const load = (peer: PeerEntry) => this.peers.getWindow(peer, service).getLoad();
    return load(a) <= load(b) ? a : b;
  }
}

import {LearnedLimit} from '../admission/learned-limit.js';
import type {Announce, Hello} from '../messages/control.js';

/** A host as seen by an entry that is connected to its agent. */
export interface Host {
  /** Name of the agent process. */
  readonly peer: string;
  hello: Hello;
  announce?: Announce;
  connected: boolean;
  /** Time of the last sign of life. */
  lastSeenAt: number;
  isSuspect: boolean;
  /** In flight at the host over all entries, as last reported. */
  reportedInFlight: number;
  /** Own attempts sent since the last report. */
  sentSinceReport: number;
  /** Own attempts without a reply. */
  outstanding: number;
  /** Own attempts that the agent allows at once. */
  creditLimit: number;
  /** Own attempts at once that the latency of the host allows. */
  readonly limit: LearnedLimit;
  /** Time until which the agent asked for no new work. */
  heldUntil: number;
  /** Smoothed latency of answers in milliseconds. */
  latencyMs: number;
  /** Smoothed ratio of its latency to that of all hosts for the same service. */
  slowness: number;
  /** Failures since the last answer. */
  failures: number;
  /** Times in a row that the host was left out for its failures. */
  consecutiveEjections: number;
}

const suspectAfterMs = 3500;
const initialCreditLimit = 2;
const ejectionFailureCount = 3;
const firstEjectionMs = 250;
const maxEjectionMs = 10_000;

/** Whether the last exchanges with a host all failed; it gets one probe at a time, of idempotent requests only. */
export function isFailing(host: Host): boolean {
  return host.failures >= ejectionFailureCount;
}

/** Hosts that are connected to an entry. */
export class HostView {
  private readonly hosts = new Map<string, Host>();
  private drains: ReadonlySet<string> = new Set();

  /** Records a new connection to an agent. Returns the host. */
  connect(peer: string, hello: Hello, at: number): Host {
    const known = this.hosts.get(peer);
    if (known && known.hello.incarnation === hello.incarnation) {
      known.hello = hello;
      known.connected = true;
      known.isSuspect = false;
      known.lastSeenAt = at;
      return known;
    }
    const host: Host = {
      peer,
      hello,
      connected: true,
      lastSeenAt: at,
      isSuspect: false,
      reportedInFlight: 0,
      sentSinceReport: 0,
      outstanding: 0,
      creditLimit: initialCreditLimit,
      limit: new LearnedLimit(),
      heldUntil: 0,
      latencyMs: 0,
      slowness: 1,
      failures: 0,
      consecutiveEjections: 0,
    };
    this.hosts.set(peer, host);
    return host;
  }

  /** Records the loss of the connection. */
  disconnect(peer: string): void {
    const host = this.hosts.get(peer);
    if (host) host.connected = false;
  }

  /** Records a sign of life, which ends suspicion. */
  recordSignal(peer: string, at: number): void {
    const host = this.hosts.get(peer);
    if (!host) return;
    host.lastSeenAt = at;
    host.isSuspect = false;
  }

  /**
   * Counts a failed exchange. A host that fails fast looks idle and attracts work, so after some failures in a row it
   * is left out for a while, longer each time.
   */
  recordFailure(host: Host, at: number): void {
    host.failures += 1;
    if (host.failures < ejectionFailureCount || host.heldUntil > at) return;
    const holdMs = Math.min(maxEjectionMs, firstEjectionMs * 2 ** host.consecutiveEjections);
    host.heldUntil = at + holdMs;
    host.consecutiveEjections += 1;
  }

  /** Counts an answer, which ends the doubt about a host. */
  recordSuccess(host: Host): void {
    host.failures = 0;
    host.consecutiveEjections = 0;
  }

  /** Sets the hosts that the operators drain. */
  setDrains(drains: ReadonlySet<string>): void {
    this.drains = drains;
  }

  /** Marks silent hosts as suspect and forgets those that are long gone. Returns the newly suspect ones. */
  detectSuspects(at: number): Host[] {
    const suspects: Host[] = [];
    for (const host of this.hosts.values()) {
      if (!host.isSuspect && at - host.lastSeenAt > suspectAfterMs) {
        host.isSuspect = true;
        suspects.push(host);
      }
      if (!host.connected && at - host.lastSeenAt > 120_000) this.hosts.delete(host.peer);
    }
    return suspects;
  }

  /** Host by the name of its agent. */
  getHost(peer: string): Host | undefined {
    return this.hosts.get(peer);
  }

  /** All known hosts. */
  getHosts(): IterableIterator<Host> {
    return this.hosts.values();
  }

  /** Whether a host may receive new work of a service. */
  isUsable(host: Host, service: string): boolean {
    const {announce} = host;
    if (!host.connected || host.isSuspect || !announce || announce.draining) return false;
    if (this.drains.has(announce.host)) return false;
    return announce.slots > 0 && announce.services.includes(service);
  }

  /** Slots of all hosts that may receive new work. */
  getSlots(): number {
    let slots = 0;
    for (const host of this.hosts.values()) {
      const {announce} = host;
      if (!host.connected || host.isSuspect || !announce || announce.draining) continue;
      slots += announce.slots;
    }
    return slots;
  }
}

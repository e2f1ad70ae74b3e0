import {LearnedLimit} from '../admission/learned-limit.js';
import type {Announce, Hello} from '../messages/control.js';

/** A host as seen by an entry that is connected to its agent. */
export interface Host {
  /** Name of the agent process. */
  readonly peer: string;
  hello: Hello;
  announce?: Announce;
  connected: boolean;
  /** Time of the last connection, announcement, heartbeat or answer. */
  lastSeenAt: number;
  /** Nothing was received for `suspectAfterMs`. */
  isSuspect: boolean;
  /** Requests in flight at the host from all entries, as last reported. */
  reportedInFlight: number;
  /** Attempts that this entry sent since the last report. */
  sentSinceReport: number;
  /** Attempts of this entry without a reply. */
  outstanding: number;
  /** Concurrent attempts of this entry that the credit of the agent allows. */
  creditLimit: number;
  /** Concurrent attempts of this entry that the latency of the host allows. */
  readonly limit: LearnedLimit;
  /** Time until which the host receives no new attempts, because its agent asked for a backoff or it is ejected. */
  backoffUntil: number;
  /** Moving average of the latency of answers in milliseconds; 0 before the first. */
  latencyMs: number;
  /** Moving average of the ratio of its latency to the average of all hosts for the same service; 1 is normal. */
  slowness: number;
  /** Failures since the last answer. */
  failures: number;
  /** Ejections for failures since the last answer; each doubles the duration of the next. */
  consecutiveEjections: number;
}

/** Time without a message after which a host is suspect. Agents send a heartbeat every second. */
const suspectAfterMs = 3500;
const initialCreditLimit = 2;
/** Number of consecutive failures after which a host is ejected. */
const ejectionFailureCount = 3;
const firstEjectionMs = 250;
const maxEjectionMs = 10_000;

/** Whether the last exchanges with a host all failed; it then gets one probe at a time, idempotent requests only. */
export function isFailing(host: Host): boolean {
  return host.failures >= ejectionFailureCount;
}

/** Hosts whose agents have connected to an entry; a disconnected one is deleted after 2 minutes without a message. */
export class HostView {
  private readonly hosts = new Map<string, Host>();
  private drains: ReadonlySet<string> = new Set();

  /** Records a new connection to an agent and returns its host; a restarted agent gets a fresh state. */
  connect(peer: string, hello: Hello, at: number): Host {
    const existing = this.hosts.get(peer);
    if (existing && existing.hello.incarnation === hello.incarnation) {
      existing.hello = hello;
      existing.connected = true;
      existing.isSuspect = false;
      existing.lastSeenAt = at;
      return existing;
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
      backoffUntil: 0,
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

  /** Records that a message arrived from an agent, so that its host is no longer suspect. */
  recordMessage(peer: string, at: number): void {
    const host = this.hosts.get(peer);
    if (!host) return;
    host.lastSeenAt = at;
    host.isSuspect = false;
  }

  /**
   * Counts a failed exchange. A host that fails fast looks idle and attracts requests, so after
   * `ejectionFailureCount` consecutive failures it is ejected, with exponential backoff.
   */
  recordFailure(host: Host, at: number): void {
    host.failures += 1;
    if (host.failures < ejectionFailureCount || host.backoffUntil > at) return;
    const holdMs = Math.min(maxEjectionMs, firstEjectionMs * 2 ** host.consecutiveEjections);
    host.backoffUntil = at + holdMs;
    host.consecutiveEjections += 1;
  }

  /** Records an answer, which resets the failures and ejections of a host. */
  recordSuccess(host: Host): void {
    host.failures = 0;
    host.consecutiveEjections = 0;
  }

  /** Sets the names of the hosts that operators drain. */
  setDrains(drains: ReadonlySet<string>): void {
    this.drains = drains;
  }

  /** Marks silent hosts as suspect, deletes those disconnected and silent for 2 minutes, and returns new suspects. */
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

  /** Whether a host may receive new requests of a service. */
  isUsable(host: Host, service: string): boolean {
    const {announce} = host;
    if (!host.connected || host.isSuspect || !announce || announce.draining) return false;
    if (this.drains.has(announce.host)) return false;
    return announce.slots > 0 && announce.services.includes(service);
  }

  /** Total slots of the connected hosts that are neither suspect nor draining. */
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

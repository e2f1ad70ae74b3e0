import type {BackendAnnounced} from '../requests/agent-events.js';

/** Time after its last announcement for which a backend server counts as alive. */
const announcementValidMs = 3000;
/** Pause after a refused connection. Without it a dead backend server fails fast and attracts all requests. */
const connectionRefusedPauseMs = 250;

/** State of a backend server on the host of the agent. */
export interface Backend {
  announced: BackendAnnounced;
  /** Time of the last announcement; `-Infinity` once the backend server is gone. */
  lastSeenAt: number;
  /** Time at which it first announced that it is draining. */
  drainingSince?: number;
  /** Number of open exchanges. */
  running: number;
  /** Time until which no exchange is opened, because a connection was refused. */
  pausedUntil: number;
}

/** Backend servers that announced themselves to an agent. */
export class BackendView {
  private readonly backends = new Map<string, Backend>();

  constructor(private readonly hostSlots: number) {}

  /** Records an announcement, which also serves as heartbeat. */
  announce(announced: BackendAnnounced, at: number): void {
    const existing = this.backends.get(announced.url);
    const backend = existing ?? {announced, lastSeenAt: at, running: 0, pausedUntil: 0};
    backend.announced = announced;
    backend.lastSeenAt = at;
    backend.drainingSince = announced.draining ? (backend.drainingSince ?? at) : undefined;
    if (!existing) this.backends.set(announced.url, backend);
  }

  /** Records that a backend server is gone. */
  markGone(url: string): void {
    const backend = this.backends.get(url);
    if (backend) backend.lastSeenAt = -Infinity;
  }

  /** Returns the least loaded backend server with a free slot and connection for a service, if there is one. */
  choose(service: string, at: number): Backend | undefined {
    if (this.countOpenExchanges() >= this.hostSlots) return undefined;
    let best: Backend | undefined;
    for (const backend of this.backends.values()) {
      const {announced} = backend;
      if (!isAlive(backend, at) || backend.pausedUntil > at) continue;
      if (!announced.services.includes(service)) continue;
      if (backend.running >= Math.min(announced.slots, announced.connections)) continue;
      if (!best || backend.running < best.running) best = backend;
    }
    return best;
  }

  /**
   * Returns why new requests for a service are refused regardless of load, or undefined if they are not. For the
   * grace time a draining backend server still accepts requests of senders that do not know of the drain yet.
   */
  getRefusal(service: string, graceMs: number, at: number): 'no-backend' | 'draining' | undefined {
    let refusal: 'no-backend' | 'draining' = 'no-backend';
    for (const backend of this.backends.values()) {
      if (!isAlive(backend, at) || !backend.announced.services.includes(service)) continue;
      if (at - (backend.drainingSince ?? at) <= graceMs) return undefined;
      refusal = 'draining';
    }
    return refusal;
  }

  /** Whether all live backend servers of the host announced that they are draining. */
  isDraining(at: number): boolean {
    const alive = [...this.backends.values()].filter(backend => isAlive(backend, at));
    return alive.length > 0 && alive.every(({announced}) => announced.draining);
  }

  /** Counts an exchange as open. */
  begin(backend: Backend): void {
    backend.running += 1;
  }

  /** Counts an exchange as closed. */
  end(url: string): void {
    const backend = this.backends.get(url);
    if (backend) backend.running -= 1;
  }

  /** Stops new exchanges with a backend server that refused a connection, for `connectionRefusedPauseMs`. */
  pause(url: string, at: number): void {
    const backend = this.backends.get(url);
    if (backend) backend.pausedUntil = at + connectionRefusedPauseMs;
  }

  /** Number of open exchanges. */
  countOpenExchanges(): number {
    let running = 0;
    for (const backend of this.backends.values()) running += backend.running;
    return running;
  }

  /** Maximum number of open exchanges at the given time. */
  getSlots(at: number): number {
    let slots = 0;
    for (const backend of this.backends.values()) {
      const {announced} = backend;
      if (isAlive(backend, at)) slots += Math.min(announced.slots, announced.connections);
    }
    return Math.min(this.hostSlots, slots);
  }

  /** Connections that the live backend servers accept. */
  getConnections(at: number): number {
    let connections = 0;
    for (const backend of this.backends.values()) {
      if (isAlive(backend, at)) connections += backend.announced.connections;
    }
    return connections;
  }

  /** Services that accept new requests, sorted. */
  getServices(at: number): string[] {
    const services = new Set<string>();
    for (const backend of this.backends.values()) {
      if (!isAlive(backend, at) || backend.announced.draining) continue;
      for (const service of backend.announced.services) services.add(service);
    }
    return [...services].sort();
  }
}

function isAlive(backend: Backend, at: number): boolean {
  return at - backend.lastSeenAt <= announcementValidMs;
}

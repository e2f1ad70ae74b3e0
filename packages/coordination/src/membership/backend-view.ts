import type {BackendAnnounced} from '../requests/agent-events.js';

const announcementValidMs = 3000;
/** Pause after a refused connection. Without it a dead backend server fails fast and attracts all work. */
const connectionRefusedPauseMs = 250;

/** A backend server beside the agent. */
export interface Backend {
  announced: BackendAnnounced;
  lastSeenAt: number;
  /** Time at which it first announced that it is leaving. */
  drainingSince?: number;
  running: number;
  pausedUntil: number;
}

/** Backend servers that have announced themselves to an agent. */
export class BackendView {
  private readonly backends = new Map<string, Backend>();

  constructor(private readonly hostSlots: number) {}

  /** Records a sign of life. */
  announce(announced: BackendAnnounced, at: number): void {
    const known = this.backends.get(announced.url);
    const backend = known ?? {announced, lastSeenAt: at, running: 0, pausedUntil: 0};
    backend.announced = announced;
    backend.lastSeenAt = at;
    backend.drainingSince = announced.draining ? (backend.drainingSince ?? at) : undefined;
    if (!known) this.backends.set(announced.url, backend);
  }

  /** Records that a backend server is gone. */
  markGone(url: string): void {
    const known = this.backends.get(url);
    if (known) known.lastSeenAt = -Infinity;
  }

  /** Chooses the least loaded backend server with a free slot and connection for a service. */
  choose(service: string, at: number): Backend | undefined {
    if (this.getRunning() >= this.hostSlots) return undefined;
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
   * Why new work for a service is refused, if it is, whatever the load. A backend server that is leaving still
   * takes the work of senders that have not heard of it, for the grace time.
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

  /** Whether all backend servers of the host have announced that they are leaving. */
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

  /** Gives a backend server that refused a connection no exchange for a while. */
  pause(url: string, at: number): void {
    const backend = this.backends.get(url);
    if (backend) backend.pausedUntil = at + connectionRefusedPauseMs;
  }

  /** Exchanges that are open. */
  getRunning(): number {
    let running = 0;
    for (const backend of this.backends.values()) running += backend.running;
    return running;
  }

  /** Exchanges that may be open at once at present. */
  getSlots(at: number): number {
    let slots = 0;
    for (const backend of this.backends.values()) {
      const {announced} = backend;
      if (isAlive(backend, at)) slots += Math.min(announced.slots, announced.connections);
    }
    return Math.min(this.hostSlots, slots);
  }

  /** Connections that the backend servers accept. */
  getConnections(at: number): number {
    let connections = 0;
    for (const backend of this.backends.values()) {
      if (isAlive(backend, at)) connections += backend.announced.connections;
    }
    return connections;
  }

  /** Services that are offered to new work, sorted. */
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

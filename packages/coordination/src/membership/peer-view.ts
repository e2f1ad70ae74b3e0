import type {Hello, Summary} from '../messages/control.js';
import {ForwardWindow} from './forward-window.js';

/** State of another entry, as seen by an entry. */
export interface PeerEntry {
  readonly peer: string;
  hello: Hello;
  connected: boolean;
  summary?: Summary;
  /** Minimum latency of an answer so far. */
  minimumLatencyMs?: number;
  /** Congestion windows of the requests forwarded to the peer, by service. */
  readonly windows: Map<string, ForwardWindow>;
  /** End of the backoff that the peer asked for, by service. */
  readonly backoffUntil: Map<string, number>;
}

/** Other entries that have connected to an entry; disconnected ones are kept. */
export class PeerView {
  private readonly peers = new Map<string, PeerEntry>();

  /** Records a new connection to an entry. */
  connect(peer: string, hello: Hello): PeerEntry {
    const existing = this.peers.get(peer);
    if (existing && existing.hello.incarnation === hello.incarnation) {
      existing.hello = hello;
      existing.connected = true;
      return existing;
    }
    const entry: PeerEntry = {
      peer,
      hello,
      connected: true,
      windows: new Map(),
      backoffUntil: new Map(),
    };
    this.peers.set(peer, entry);
    return entry;
  }

  /** Records the loss of the connection; the summary is stale from then on. */
  disconnect(peer: string): void {
    const entry = this.peers.get(peer);
    if (!entry) return;
    entry.connected = false;
    entry.summary = undefined;
  }

  /** Entry by the name of its process. */
  getPeer(peer: string): PeerEntry | undefined {
    return this.peers.get(peer);
  }

  /** All known entries. */
  getPeers(): IterableIterator<PeerEntry> {
    return this.peers.values();
  }

  /** Number of connected entries of a region. */
  countConnected(region: string): number {
    let count = 0;
    for (const peer of this.peers.values()) {
      if (peer.connected && peer.hello.region === region) count += 1;
    }
    return count;
  }

  /** Whether an entry reported hosts for a service. */
  hasService(peer: PeerEntry, service: string): boolean {
    if (!peer.connected || !peer.summary) return false;
    return peer.summary.services.some(s => s.service === service && s.hosts > 0);
  }

  /** Congestion window of a service at an entry; created on first use. */
  getWindow(peer: PeerEntry, service: string): ForwardWindow {
    let window = peer.windows.get(service);
    if (!window) {
      window = new ForwardWindow();
      peer.windows.set(service, window);
    }
    return window;
  }
}

import type {Hello, Summary} from '../messages/control.js';

/** Another entry as seen by an entry. */
export interface PeerEntry {
  readonly peer: string;
  hello: Hello;
  connected: boolean;
  summary?: Summary;
  /** Own forwards without an answer. */
  outstanding: number;
  /** Forwards that may be outstanding at once, adapted by the credit in the answers. */
  window: number;
  loweredAt: number;
  /** Least latency of an answer so far. */
  minimumLatencyMs?: number;
  /** Time until which the peer asked for no more requests of a service. */
  readonly heldUntil: Map<string, number>;
}

const initialWindow = 16;
const maximumWindow = 4096;

/** Entries that are connected to an entry. */
export class PeerView {
  private readonly peers = new Map<string, PeerEntry>();

  /** Records a new connection to an entry. */
  connect(peer: string, hello: Hello): PeerEntry {
    const known = this.peers.get(peer);
    if (known && known.hello.incarnation === hello.incarnation) {
      known.hello = hello;
      known.connected = true;
      return known;
    }
    const entry: PeerEntry = {
      peer,
      hello,
      connected: true,
      outstanding: 0,
      window: initialWindow,
      loweredAt: 0,
      heldUntil: new Map(),
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

  /** Adapts the window to the credit of an answer: slow growth while there is room, one cut a round trip. */
  adapt(peer: PeerEntry, credit: number, latencyMs: number, at: number): void {
    if (credit > 0) {
      if (peer.outstanding * 2 >= peer.window)
        peer.window = Math.min(maximumWindow, peer.window + Math.min(1, credit / 4));
      return;
    }
    if (at - peer.loweredAt < latencyMs) return;
    peer.loweredAt = at;
    peer.window = Math.max(2, peer.window * 0.9);
  }
}

/** Time after its last request for which an entry counts as active. */
const activeWindowMs = 1000;

/** Entries that are connected to an agent, and the credit of each at the host. */
export class EntryConnections {
  private readonly connected = new Set<string>();
  private readonly inFlight = new Map<string, number>();
  private readonly usedAt = new Map<string, number>();

  /** Records a new connection. */
  add(peer: string): void {
    this.connected.add(peer);
  }

  /** Records the loss of a connection. */
  remove(peer: string): void {
    this.connected.delete(peer);
    this.usedAt.delete(peer);
  }

  /** Whether an entry is connected. */
  has(peer: string): boolean {
    return this.connected.has(peer);
  }

  /** Names of the connected entries. */
  getNames(): IterableIterator<string> {
    return this.connected.values();
  }

  /** Records that an entry sent a request. */
  recordUse(peer: string, at: number): void {
    this.usedAt.set(peer, at);
  }

  /** Adds `delta` to the number of requests of an entry at the host. */
  addInFlight(peer: string, delta: 1 | -1): void {
    const count = (this.inFlight.get(peer) ?? 0) + delta;
    if (count > 0) this.inFlight.set(peer, count);
    else this.inFlight.delete(peer);
  }

  /**
   * Returns how many more requests an entry may send: the unused part of its fair share of the slots, or its part of
   * the free slots if that is larger. Only recently active entries are counted, so that a single busy entry can use
   * the whole host.
   */
  getCredit(peer: string, slots: number, freeSlots: number, at: number): number {
    let entries = this.usedAt.has(peer) ? 0 : 1;
    for (const usedAt of this.usedAt.values()) if (at - usedAt <= activeWindowMs) entries += 1;
    entries = Math.max(1, entries);
    const unusedFairShare =
      Math.max(1, Math.floor(slots / entries)) - (this.inFlight.get(peer) ?? 0);
    return Math.max(0, unusedFairShare, Math.ceil(freeSlots / entries));
  }
}

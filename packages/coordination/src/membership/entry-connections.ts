/** Entries that are connected to an agent, and the room that each has at the host. */
export class EntryConnections {
  private readonly connected = new Set<string>();
  private readonly inFlight = new Map<string, number>();

  /** Records a new connection. */
  add(peer: string): void {
    this.connected.add(peer);
  }

  /** Records the loss of a connection. */
  remove(peer: string): void {
    this.connected.delete(peer);
  }

  /** Whether an entry is connected. */
  has(peer: string): boolean {
    return this.connected.has(peer);
  }

  /** Names of the connected entries. */
  getNames(): IterableIterator<string> {
    return this.connected.values();
  }

  /** Adds to the requests of an entry that are at the host. */
  addInFlight(peer: string, by: 1 | -1): void {
    const count = (this.inFlight.get(peer) ?? 0) + by;
    if (count > 0) this.inFlight.set(peer, count);
    else this.inFlight.delete(peer);
  }

  /** Requests that an entry may add: up to its fair share of the slots, or its part of the free ones. */
  getCredit(peer: string, slots: number, free: number): number {
    const entries = Math.max(1, this.connected.size);
    const fair = Math.max(1, Math.floor(slots / entries)) - (this.inFlight.get(peer) ?? 0);
    return Math.max(0, fair, Math.ceil(free / entries));
  }
}

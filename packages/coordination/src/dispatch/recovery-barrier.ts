import type {RosterEntry} from './dispatch-events.js';

/**
 * Prevents a new owner from starting tasks that a previous owner may already have started. It opens once every
 * worker of the previous owner has listed its runs under the new fencing token, is known to be gone, or has an
 * expired lease.
 */
export class RecoveryBarrier {
  private readonly unaccounted = new Map<string, RosterEntry>();
  private openAt = Number.NEGATIVE_INFINITY;

  /** Starts with the previous owner's workers, whose leases have all expired at `openAt`. */
  begin(roster: readonly RosterEntry[], openAt: number): void {
    this.unaccounted.clear();
    for (const entry of roster) this.unaccounted.set(entry.life, entry);
    this.openAt = openAt;
  }

  /** Opens the barrier at `openAt` if it would open later: the leases are known to expire earlier. */
  limit(openAt: number): void {
    this.openAt = Math.min(this.openAt, openAt);
  }

  /** Marks a worker incarnation as accounted for: it has listed its runs or has ended. */
  markAccounted(life: string): void {
    this.unaccounted.delete(life);
  }

  /** Marks all other incarnations of an agent's worker as accounted for: the new one has replaced them. */
  markReplaced(agent: string, life: string): void {
    for (const entry of [...this.unaccounted.values()]) {
      if (entry.agent === agent && entry.life !== life) this.unaccounted.delete(entry.life);
    }
  }

  /** Worker incarnations that have not been accounted for. */
  get entries(): readonly RosterEntry[] {
    return [...this.unaccounted.values()];
  }

  /** Whether tasks that no worker has listed may be started. */
  isOpen(at: number): boolean {
    if (at >= this.openAt) this.unaccounted.clear();
    return this.unaccounted.size === 0;
  }
}

import type {RosterEntry} from './dispatch-events.js';

/**
 * Keeps a new owner from starting what a former owner may have started, until every worker of the former
 * owner has listed its runs under the new fencing token, is known to be gone, or has let its lease run out.
 */
export class RecoveryBarrier {
  private readonly unaccounted = new Map<string, RosterEntry>();
  private openAt = Number.NEGATIVE_INFINITY;

  /** Starts with the former owner's workers; after `openAt` their leases have run out. */
  begin(roster: readonly RosterEntry[], openAt: number): void {
    this.unaccounted.clear();
    for (const entry of roster) this.unaccounted.set(entry.life, entry);
    this.openAt = openAt;
  }

  /** Notes that a life of a worker has listed its runs or has ended. */
  markAccounted(life: string): void {
    this.unaccounted.delete(life);
  }

  /** Notes that the agent's worker has a new life, so that earlier ones have ended. */
  markReplaced(agent: string, life: string): void {
    for (const entry of [...this.unaccounted.values()]) {
      if (entry.agent === agent && entry.life !== life) this.unaccounted.delete(entry.life);
    }
  }

  /** Workers that have not been accounted for. */
  get entries(): readonly RosterEntry[] {
    return [...this.unaccounted.values()];
  }

  /** Whether tasks of the former owner that nobody runs may be started. */
  isOpen(at: number): boolean {
    if (at >= this.openAt) this.unaccounted.clear();
    return this.unaccounted.size === 0;
  }
}

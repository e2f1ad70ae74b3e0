import type {RosterEntry} from './dispatch-events.js';
import type {DispatchTiming} from './dispatch-timing.js';

/** Times at which the leases of a previous owner's workers have expired. */
export interface LeaseEnds {
  /** For leases as the owner grants them. */
  readonly granted: number;
  /** For leases as long as a worker accepts. */
  readonly long: number;
}

/** Returns the times at which all leases that were granted until `grantedAt` have expired, also on a slow clock. */
export function getLeaseEnds(timing: DispatchTiming, grantedAt: number): LeaseEnds {
  const {leaseMs, maxLeaseMs, clockDrift} = timing;
  const long = grantedAt + Math.max(leaseMs, maxLeaseMs) / (1 - clockDrift);
  return {granted: grantedAt + leaseMs / (1 - clockDrift), long};
}

/**
 * Prevents a new owner from starting tasks that a previous owner may already have started. It opens once every
 * worker of the previous owner has listed its runs under the new fencing token, is known to be gone, or has an
 * expired lease.
 */
export class RecoveryBarrier {
  private readonly unaccounted = new Map<string, RosterEntry>();
  private ends: LeaseEnds = {granted: Number.NEGATIVE_INFINITY, long: Number.NEGATIVE_INFINITY};

  /** Starts with the previous owner's workers and the times at which their leases have expired. */
  begin(roster: readonly RosterEntry[], ends: LeaseEnds): void {
    this.unaccounted.clear();
    for (const entry of roster) this.unaccounted.set(entry.life, entry);
    this.ends = ends;
  }

  /** Opens the barrier earlier: the leases are known to expire earlier. */
  limit({granted, long}: LeaseEnds): void {
    this.ends = {
      granted: Math.min(this.ends.granted, granted),
      long: Math.min(this.ends.long, long),
    };
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
    const {granted, long} = this.ends;
    for (const {life, hasLongLease} of this.entries) {
      if (at >= (hasLongLease ? long : granted)) this.unaccounted.delete(life);
    }
    return this.unaccounted.size === 0;
  }
}

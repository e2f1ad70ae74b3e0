import type {OwnershipStoreCall, StoreOutcome} from '@chervilbeam/coordination';

/** Answer of the virtual store to a call. */
export interface VirtualStoreAnswer {
  readonly result: StoreOutcome;
  readonly revision?: number;
  readonly value?: unknown;
  readonly lease?: string;
}

/** Compare-and-swap store with leases, in virtual time. */
export class VirtualStore {
  /** Whether every call is refused as `unavailable`, without effect. */
  isDown = false;
  /** Number of the next writes and lease calls that take effect but are answered with `unknown`. */
  loseAnswers = 0;
  /** Number of writes and lease calls. */
  writes = 0;
  /** Number of reads. */
  reads = 0;
  private revision = 0;
  private nextLease = 1;
  private readonly values = new Map<string, {value: unknown; revision: number; lease?: string}>();
  private readonly leases = new Map<string, {ttlMs: number; expiresAt: number}>();

  /** Carries out a call at a virtual time. */
  call(call: OwnershipStoreCall, at: number): VirtualStoreAnswer {
    if (this.isDown) return {result: 'unavailable'};
    this.expire(at);
    if (call.operation === 'read') this.reads += 1;
    else this.writes += 1;
    const answer = this.apply(call, at);
    if (call.operation === 'read' || this.loseAnswers === 0) return answer;
    this.loseAnswers -= 1;
    return {result: 'unknown'};
  }

  private apply(call: OwnershipStoreCall, at: number): VirtualStoreAnswer {
    switch (call.operation) {
      case 'read': {
        const entry = this.values.get(call.key);
        return {result: 'ok', value: structuredClone(entry?.value), revision: entry?.revision ?? 0};
      }
      case 'write': {
        const present = this.values.get(call.key)?.revision ?? 0;
        if (present !== call.expectedRevision) return {result: 'mismatch'};
        if (call.lease !== undefined && !this.leases.has(call.lease)) return {result: 'mismatch'};
        this.revision += 1;
        const {lease} = call;
        this.values.set(call.key, {
          value: structuredClone(call.value),
          revision: this.revision,
          lease,
        });
        return {result: 'ok', revision: this.revision};
      }
      case 'open-lease': {
        const lease = `lease-${this.nextLease}`;
        this.nextLease += 1;
        this.leases.set(lease, {ttlMs: call.ttlMs, expiresAt: at + call.ttlMs});
        return {result: 'ok', lease, revision: this.revision};
      }
      case 'renew-lease': {
        const lease = this.leases.get(call.lease);
        if (!lease) return {result: 'mismatch'};
        lease.expiresAt = at + lease.ttlMs;
        return {result: 'ok', revision: this.revision};
      }
      case 'close-lease':
        this.leases.delete(call.lease);
        this.deleteKeysOfEndedLeases();
        return {result: 'ok', revision: this.revision};
    }
  }

  private expire(at: number): void {
    let lapsed = false;
    for (const [name, lease] of this.leases) {
      if (lease.expiresAt > at) continue;
      this.leases.delete(name);
      lapsed = true;
    }
    if (lapsed) this.deleteKeysOfEndedLeases();
  }

  private deleteKeysOfEndedLeases(): void {
    for (const [key, entry] of this.values) {
      if (entry.lease === undefined || this.leases.has(entry.lease)) continue;
      this.values.delete(key);
      this.revision += 1;
    }
  }
}

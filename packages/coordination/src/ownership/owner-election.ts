import type {Reducer} from '../reducer.js';

/** Timing of `OwnerElection`. */
export interface ElectionTiming {
  /** Time to live of the lease in the store, in milliseconds. */
  readonly leaseTtlMs: number;
  /** Time in milliseconds between two renewals of the lease. */
  readonly renewIntervalMs: number;
  /**
   * Time in milliseconds after the last confirmed renewal at which an owner steps down when the store does not
   * answer. It may exceed the lease, because the fencing token stops an owner that has been replaced.
   */
  readonly ownershipTimeoutMs: number;
  /** Delay in milliseconds before a failed call is retried. */
  readonly retryMs: number;
}

/** Default timing of the election. */
export const defaultElectionTiming: ElectionTiming = {
  // Two renewals may be lost before the lease expires.
  leaseTtlMs: 3_000,
  renewIntervalMs: 1_000,
  ownershipTimeoutMs: 6_000,
  retryMs: 250,
};

/** Value of the owner key in the store: the process that owns the submissions. */
export interface OwnerRecord {
  readonly name: string;
  /** Address at which other processes reach the owner. */
  readonly address: string;
  /** Unique id of the claim. A process whose answer was lost recognises its own claim by it. */
  readonly nonce: string;
}

/** Options of `OwnerElection`. */
export interface OwnerElectionOptions {
  /** Unique id of this run of the process; prefix of its nonces. */
  readonly incarnation: string;
  /** Address at which other processes reach this one. No two running processes share an address. */
  readonly address?: string;
  /** Delay in milliseconds before a vacant key is claimed, so that a process near the store claims first. */
  readonly claimDelayMs?: number;
  readonly timing?: Partial<ElectionTiming>;
}

/** Input of `OwnerElection`. */
export type ElectionEvent =
  | {readonly kind: 'tick'}
  /** Only checks whether the ownership has timed out. */
  | {readonly kind: 'look'}
  | {readonly kind: 'lease-opened'; readonly lease: string; readonly sentAt: number}
  | {readonly kind: 'lease-kept'; readonly sentAt: number}
  /** The lease has ended in the store. */
  | {readonly kind: 'lease-ended'}
  /** A call of this kind was not answered, or was refused. */
  | {readonly kind: 'call-failed'; readonly call: 'open-lease' | 'keep-lease' | 'claim'}
  /** The owner key was read or has changed. */
  | {
      readonly kind: 'owner-seen';
      readonly owner: OwnerRecord | undefined;
      /** Revision of the key, or of the store when the key is absent. */
      readonly revision: number;
    }
  /** The claim succeeded. The generation is the number of owners so far. */
  | {readonly kind: 'claimed'; readonly revision: number; readonly generation: number}
  | {readonly kind: 'deposed'; readonly reason: string}
  | {readonly kind: 'claim-delay'; readonly delayMs: number}
  /** The owner offers its ownership; `revision` is that of its key, which this process may replace. */
  | {readonly kind: 'take-over'; readonly revision: number}
  /** This process claims no more, but keeps an ownership until another process has taken it over, or until `drain`. */
  | {readonly kind: 'retire'}
  | {readonly kind: 'drain'};

/** Output of `OwnerElection`. */
export type ElectionEffect =
  | {readonly kind: 'open-lease'; readonly ttlMs: number}
  | {readonly kind: 'keep-lease'; readonly lease: string}
  | {
      readonly kind: 'claim';
      readonly lease: string;
      readonly nonce: string;
      /** Expected revision of the owner key; 0 when it must be absent. */
      readonly expectedRevision: number;
    }
  | {readonly kind: 'end-lease'; readonly lease: string}
  | {readonly kind: 'begin'; readonly term: number; readonly generation: number}
  | {readonly kind: 'end'; readonly reason: string};

/**
 * Leader election for the ownership of the submissions. The owner key in the store is attached to the lease of the
 * owning process; the revision at which it was written is the term and serves as the fencing token.
 */
export class OwnerElection implements Reducer<ElectionEvent, ElectionEffect> {
  private readonly timing: ElectionTiming;
  private lease: string | undefined;
  private leaseConfirmedAt = Number.NEGATIVE_INFINITY;
  private pending: 'open-lease' | 'keep-lease' | 'claim' | undefined;
  private calledAt = Number.NEGATIVE_INFINITY;
  private retryAt = Number.NEGATIVE_INFINITY;
  private term = 0;
  private hasReadOwnerKey = false;
  private vacantSince: number | undefined;
  /** Revision of the owner key when this process may replace it without waiting for the end of its lease, otherwise 0. */
  private replaceableRevision = 0;
  /** Revision of the owner key at which its owner has offered the ownership to this process, otherwise 0. */
  private offeredRevision = 0;
  /** Nonces of the claims under the current lease. */
  private readonly leaseNonces = new Set<string>();
  private claimCount = 0;
  private claimDelayMs: number;
  private isRetiring = false;
  private isDraining = false;
  private effects: ElectionEffect[] = [];

  constructor(private readonly options: OwnerElectionOptions) {
    this.timing = {...defaultElectionTiming, ...options.timing};
    this.claimDelayMs = options.claimDelayMs ?? 0;
  }

  /** Lease of this process; undefined until the store has granted one. */
  get currentLease(): string | undefined {
    return this.lease;
  }

  /** Time in milliseconds until a claim is due; undefined when none is waiting. */
  getClaimWaitMs(at: number): number | undefined {
    if (this.isRetiring || this.term > 0 || this.pending === 'claim') return undefined;
    if (this.lease === undefined || this.vacantSince === undefined) return undefined;
    const dueAt = this.replaceableRevision > 0 ? at : this.vacantSince + this.claimDelayMs;
    return Math.max(0, dueAt - at, this.retryAt - at);
  }

  /** @inheritdoc */
  reduce(event: ElectionEvent, at: number): readonly ElectionEffect[] {
    this.effects = [];
    if (this.term > 0 && this.hasLeaseExpired(at)) this.end('not-confirmed');
    this.apply(event, at);
    return this.effects;
  }

  private apply(event: ElectionEvent, at: number): void {
    switch (event.kind) {
      case 'tick':
        return this.tick(at);
      case 'look':
        return;
      case 'lease-opened':
        this.pending = undefined;
        this.lease = event.lease;
        this.leaseNonces.clear();
        this.leaseConfirmedAt = event.sentAt;
        return this.tick(at);
      case 'lease-kept':
        if (this.pending === 'keep-lease') this.pending = undefined;
        this.leaseConfirmedAt = Math.max(this.leaseConfirmedAt, event.sentAt);
        return;
      case 'lease-ended':
        this.pending = undefined;
        this.lease = undefined;
        this.end('lease-ended');
        return this.tick(at);
      case 'call-failed':
        this.pending = undefined;
        this.retryAt = at + this.timing.retryMs;
        return;
      case 'owner-seen':
        return this.observeOwner(event.owner, event.revision, at);
      case 'claimed':
        this.pending = undefined;
        // The reply may be handled long after it was sent, and another process may own the submissions by now.
        if (this.hasLeaseExpired(at)) return this.releaseLease();
        return this.begin(event.revision, event.generation);
      case 'deposed':
        return this.end(event.reason);
      case 'claim-delay':
        this.claimDelayMs = event.delayMs;
        return;
      case 'take-over':
        this.offeredRevision = event.revision;
        this.replaceableRevision = event.revision;
        this.hasReadOwnerKey = true;
        this.vacantSince ??= at;
        return this.tick(at);
      case 'retire':
        this.isRetiring = true;
        return;
      case 'drain':
        this.isRetiring = true;
        this.isDraining = true;
        this.end('draining');
        this.releaseLease();
        return;
    }
  }

  private hasLeaseExpired(at: number): boolean {
    return at - this.leaseConfirmedAt >= this.timing.ownershipTimeoutMs;
  }

  private tick(at: number): void {
    if (this.isDraining || (this.isRetiring && this.term === 0)) return;
    if (this.pending !== undefined || at < this.retryAt) return;
    const {leaseTtlMs, renewIntervalMs} = this.timing;
    if (this.lease === undefined) {
      this.call('open-lease', {kind: 'open-lease', ttlMs: leaseTtlMs}, at);
    } else if (at - Math.max(this.leaseConfirmedAt, this.calledAt) >= renewIntervalMs) {
      this.call('keep-lease', {kind: 'keep-lease', lease: this.lease}, at);
    } else if (this.term === 0 && this.canClaim(at)) {
      this.claimCount += 1;
      const nonce = `${this.options.incarnation}-${this.claimCount}`;
      this.leaseNonces.add(nonce);
      const expectedRevision = this.replaceableRevision;
      this.call('claim', {kind: 'claim', lease: this.lease, nonce, expectedRevision}, at);
    }
  }

  private canClaim(at: number): boolean {
    if (!this.hasReadOwnerKey || this.vacantSince === undefined) return false;
    // Only this process knows that it may replace the key, so there is no competitor to wait for.
    if (this.replaceableRevision > 0) return true;
    return at - this.vacantSince >= this.claimDelayMs;
  }

  private call(pending: 'open-lease' | 'keep-lease' | 'claim', effect: ElectionEffect, at: number) {
    this.pending = pending;
    this.calledAt = at;
    this.effects.push(effect);
  }

  private observeOwner(owner: OwnerRecord | undefined, revision: number, at: number): void {
    this.hasReadOwnerKey = true;
    if (revision > this.offeredRevision) this.offeredRevision = 0;
    const isOffered = owner !== undefined && revision === this.offeredRevision;
    const isReplaceable =
      isOffered || this.isPreviousIncarnation(owner) || this.isAbandonedClaim(owner);
    this.replaceableRevision = isReplaceable ? revision : 0;
    if (owner === undefined || isReplaceable) this.vacantSince ??= at;
    else this.vacantSince = undefined;
    // An observation older than the claim of this process is stale.
    if (this.term > 0 && revision > this.term) this.end(owner ? 'replaced' : 'key-removed');
    this.tick(at);
  }

  /**
   * Whether the owner is a previous incarnation of this process. It must have ended, because this process now uses
   * its address.
   */
  private isPreviousIncarnation(owner: OwnerRecord | undefined): boolean {
    if (owner === undefined || owner.address !== this.options.address) return false;
    return !owner.nonce.startsWith(`${this.options.incarnation}-`);
  }

  /**
   * Whether the key is a claim of this process that was not confirmed, because it took effect late. The key does not
   * disappear by itself, since this process renews the lease to which it is bound.
   */
  private isAbandonedClaim(owner: OwnerRecord | undefined): boolean {
    return owner !== undefined && this.term === 0 && this.leaseNonces.has(owner.nonce);
  }

  private begin(term: number, generation: number): void {
    if (this.isDraining || this.term >= term) return;
    this.term = term;
    this.vacantSince = undefined;
    this.replaceableRevision = 0;
    this.offeredRevision = 0;
    this.effects.push({kind: 'begin', term, generation});
  }

  private end(reason: string): void {
    if (this.term === 0) return;
    this.term = 0;
    this.effects.push({kind: 'end', reason});
    // The key may still be attached to the lease and would block the next claim by any process.
    this.releaseLease();
  }

  private releaseLease(): void {
    if (this.lease !== undefined) this.effects.push({kind: 'end-lease', lease: this.lease});
    this.lease = undefined;
  }
}

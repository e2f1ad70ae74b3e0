import type {Reducer} from '../reducer.js';

/** Times of `OwnerElection` in milliseconds. */
export interface ElectionTiming {
  /** Time to live of the lease in the store. */
  readonly leaseTtlMs: number;
  /** Time between two renewals. */
  readonly renewMs: number;
  /** Time after the last confirmed renewal for which an owner goes on while the store does not answer. */
  readonly ownershipTimeoutMs: number;
  /** Time between two attempts of a failed call. */
  readonly retryMs: number;
}

/** Defaults of `ElectionTiming`. */
export const defaultElectionTiming: ElectionTiming = {
  // Two renewals may be lost before the lease ends.
  leaseTtlMs: 3_000,
  renewMs: 1_000,
  ownershipTimeoutMs: 6_000,
  retryMs: 250,
};

/** The process that owns the submissions, as the store holds it. */
export interface OwnerRecord {
  readonly name: string;
  /** Address for other processes of the system. */
  readonly address: string;
  /** Number of the claim; tells a claim whose answer was lost from that of another process. */
  readonly nonce: string;
}

/** Options of `OwnerElection`. */
export interface OwnerElectionOptions {
  /** Prefix of the nonces of this process. */
  readonly incarnation: string;
  /** Address of this process for the others; no two processes share one at the same time. */
  readonly address?: string;
  /** Time in milliseconds by which a claim is delayed, so that a process near the store goes first. */
  readonly claimDelayMs?: number;
  readonly timing?: Partial<ElectionTiming>;
}

/** Input of `OwnerElection`. */
export type ElectionEvent =
  | {readonly kind: 'tick'}
  /** Only checks whether the ownership still holds. */
  | {readonly kind: 'look'}
  | {readonly kind: 'lease-opened'; readonly lease: string; readonly sentAt: number}
  | {readonly kind: 'lease-kept'; readonly sentAt: number}
  /** The store has ended the lease. */
  | {readonly kind: 'lease-ended'}
  /** A call of this kind got no answer or was turned away. */
  | {readonly kind: 'call-failed'; readonly call: 'open-lease' | 'keep-lease' | 'claim'}
  /** The owner's key was read or has changed. */
  | {
      readonly kind: 'owner-seen';
      readonly owner: OwnerRecord | undefined;
      /** Revision of the key, or of the store when there is no key. */
      readonly revision: number;
    }
  | {readonly kind: 'claimed'; readonly revision: number; readonly generation: number}
  | {readonly kind: 'deposed'; readonly reason: string}
  | {readonly kind: 'claim-delay'; readonly delayMs: number}
  | {readonly kind: 'drain'};

/** Output of `OwnerElection`. */
export type ElectionEffect =
  | {readonly kind: 'open-lease'; readonly ttlMs: number}
  | {readonly kind: 'keep-lease'; readonly lease: string}
  | {
      readonly kind: 'claim';
      readonly lease: string;
      readonly nonce: string;
      /** Revision of the owner's key that is replaced; 0 when the key is absent. */
      readonly replaces: number;
    }
  | {readonly kind: 'end-lease'; readonly lease: string}
  | {readonly kind: 'begin'; readonly term: number; readonly generation: number}
  | {readonly kind: 'end'; readonly reason: string};

/**
 * Decides whether this process owns the submissions. The owner's key in the store hangs on the lease of its
 * process; the revision at which it was written is the term and the fencing token.
 */
export class OwnerElection implements Reducer<ElectionEvent, ElectionEffect> {
  private readonly timing: ElectionTiming;
  private lease: string | undefined;
  private confirmedAt = Number.NEGATIVE_INFINITY;
  private pending: 'open-lease' | 'keep-lease' | 'claim' | undefined;
  private calledAt = Number.NEGATIVE_INFINITY;
  private retryAt = Number.NEGATIVE_INFINITY;
  private term = 0;
  private hasSeenOwner = false;
  private vacantSince: number | undefined;
  /** Revision of the key when a former life of this process holds it, otherwise 0. */
  private previousIncarnationRevision = 0;
  private claimCount = 0;
  private claimDelayMs: number;
  private isDraining = false;
  private effects: ElectionEffect[] = [];

  constructor(private readonly options: OwnerElectionOptions) {
    this.timing = {...defaultElectionTiming, ...options.timing};
    this.claimDelayMs = options.claimDelayMs ?? 0;
  }

  /** Lease of this process, once the store has given one. */
  get currentLease(): string | undefined {
    return this.lease;
  }

  /** @inheritdoc */
  reduce(event: ElectionEvent, at: number): readonly ElectionEffect[] {
    this.effects = [];
    if (this.term > 0 && at - this.confirmedAt >= this.timing.ownershipTimeoutMs) {
      this.end('not-confirmed');
    }
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
        this.confirmedAt = event.sentAt;
        return this.tick(at);
      case 'lease-kept':
        if (this.pending === 'keep-lease') this.pending = undefined;
        this.confirmedAt = Math.max(this.confirmedAt, event.sentAt);
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
        return this.begin(event.revision, event.generation);
      case 'deposed':
        return this.end(event.reason);
      case 'claim-delay':
        this.claimDelayMs = event.delayMs;
        return;
      case 'drain':
        this.isDraining = true;
        this.end('draining');
        this.releaseLease();
        return;
    }
  }

  private tick(at: number): void {
    if (this.isDraining || this.pending !== undefined || at < this.retryAt) return;
    const {leaseTtlMs, renewMs} = this.timing;
    if (this.lease === undefined) {
      this.call('open-lease', {kind: 'open-lease', ttlMs: leaseTtlMs}, at);
    } else if (at - Math.max(this.confirmedAt, this.calledAt) >= renewMs) {
      this.call('keep-lease', {kind: 'keep-lease', lease: this.lease}, at);
    } else if (this.term === 0 && this.isVacant(at)) {
      this.claimCount += 1;
      const nonce = `${this.options.incarnation}-${this.claimCount}`;
      const replaces = this.previousIncarnationRevision;
      this.call('claim', {kind: 'claim', lease: this.lease, nonce, replaces}, at);
    }
  }

  private isVacant(at: number): boolean {
    if (!this.hasSeenOwner || this.vacantSince === undefined) return false;
    // No other process can be nearer to the end of a former life of this one.
    if (this.previousIncarnationRevision > 0) return true;
    return at - this.vacantSince >= this.claimDelayMs;
  }

  private call(pending: 'open-lease' | 'keep-lease' | 'claim', effect: ElectionEffect, at: number) {
    this.pending = pending;
    this.calledAt = at;
    this.effects.push(effect);
  }

  private observeOwner(owner: OwnerRecord | undefined, revision: number, at: number): void {
    this.hasSeenOwner = true;
    this.previousIncarnationRevision = this.isPreviousIncarnation(owner) ? revision : 0;
    if (owner === undefined || this.previousIncarnationRevision > 0) this.vacantSince ??= at;
    else this.vacantSince = undefined;
    // An observation from before the own claim tells nothing.
    if (this.term > 0 && revision > this.term) this.end(owner ? 'replaced' : 'key-removed');
    this.tick(at);
  }

  /** Whether the owner is an earlier life of this process; it has ended, since its address is taken. */
  private isPreviousIncarnation(owner: OwnerRecord | undefined): boolean {
    if (owner === undefined || owner.address !== this.options.address) return false;
    return !owner.nonce.startsWith(`${this.options.incarnation}-`);
  }

  private begin(term: number, generation: number): void {
    if (this.isDraining || this.term >= term) return;
    this.term = term;
    this.vacantSince = undefined;
    this.effects.push({kind: 'begin', term, generation});
  }

  private end(reason: string): void {
    if (this.term === 0) return;
    this.term = 0;
    this.effects.push({kind: 'end', reason});
    // The key may still hang on the lease and would keep every process from the next claim.
    this.releaseLease();
  }

  private releaseLease(): void {
    if (this.lease !== undefined) this.effects.push({kind: 'end-lease', lease: this.lease});
    this.lease = undefined;
  }
}

import type {Fence, Fenced, Hello, Vouch, Vouched} from '../messages/index.js';
import type {Reducer} from '../reducer.js';
import type {OwnershipMode} from '../tasks/events.js';
import type {
  CellOwnershipEffect,
  CellOwnershipEvent,
  OwnershipStoreCall,
  RegisteredEntry,
} from './events.js';
import {FencingRound, type PreviousOwner} from './fencing.js';
import {VouchCollector} from './vouch-collector.js';
import {VouchIssuer} from './vouch-issuer.js';

/** Time to live of the ownership lease in the store, in milliseconds. */
export const cellLeaseMs = 3_000;
/** Time between two renewals of the lease. */
const renewIntervalMs = 1_000;

/** Fraction of the validity of a lease or vouch that its holder leaves unused, as allowance for clock drift. */
const safetyFraction = 0.02;

/** Time between two reads of the owner key by a process that competes for the ownership. */
const contendIntervalMs = 1_000;

/** Time after which an unanswered store call counts as `unknown`. */
const callTimeoutMs = 1_000;

/** Time between two fence messages to an entry that has not answered. */
const fenceIntervalMs = 1_000;

/** Options of `CellOwnership`. `cell` names the set of hosts that one entry schedules, `entry` names this entry. */
export interface CellOwnershipOptions {
  readonly cell: string;
  readonly entry: string;
  readonly dataCentre: string;
  readonly incarnation: number;
  /** Monotonic time in milliseconds at which the process started. */
  readonly startedAt: number;
}

type CallStep =
  'read-owner' | 'open-lease' | 'write-owner' | 'read-holder' | 'write-holder' | 'renew';

interface PendingCall {
  readonly request: number;
  readonly step: CallStep;
  readonly sentAt: number;
}

/**
 * Competes for the ownership of a cell with a lease in the store. During a store outage, vouches of other entries
 * keep the ownership in mode `hold`. A new owner fences the previous one, so that it gets no more vouches.
 */
export class CellOwnership implements Reducer<CellOwnershipEvent, CellOwnershipEffect> {
  private mode: OwnershipMode = 'none';
  private term = 0;
  private lease?: string;
  /** Time until which the lease is certainly valid in the store. */
  private leaseUntil = Number.NEGATIVE_INFINITY;
  private announcedUntil = 0;
  private pending?: PendingCall;
  private nextRequest = 1;
  private nextContendAt = Number.NEGATIVE_INFINITY;
  private renewalSentAt = Number.NEGATIVE_INFINITY;
  private isStoreReachable = true;
  private draining = false;
  /** Number of claims by this process; identifies its latest claim in the owner key. */
  private claim = 0;
  private claimedTerm = 0;
  private previousOwner?: PreviousOwner;
  private readonly vouchCollector: VouchCollector;
  private fencing?: FencingRound;
  private fenceSentAt = Number.NEGATIVE_INFINITY;
  private entries: readonly RegisteredEntry[] = [];
  private readonly peers = new Map<string, Hello>();
  private readonly vouchIssuer: VouchIssuer;
  private effects: CellOwnershipEffect[] = [];

  constructor(private readonly options: CellOwnershipOptions) {
    this.vouchIssuer = new VouchIssuer(options.entry, options.startedAt);
    this.vouchCollector = new VouchCollector(options.cell, options.dataCentre, safetyFraction);
  }

  /** @inheritdoc */
  reduce(event: CellOwnershipEvent, at: number): readonly CellOwnershipEffect[] {
    this.effects = [];
    this.checkExpiry(at);
    this.apply(event, at);
    return this.effects;
  }

  private apply(event: CellOwnershipEvent, at: number): void {
    switch (event.kind) {
      case 'tick':
        this.tick(at);
        break;
      case 'store-result':
        if (event.request !== this.pending?.request) break;
        this.applyResult(this.pending, event, at);
        break;
      case 'store-reachable':
        this.isStoreReachable = event.isReachable;
        break;
      case 'entries':
        this.entries = event.entries;
        this.completeFencing();
        break;
      case 'message':
        this.receive(event.peer, event.message, at);
        break;
      case 'peer-up':
        this.peers.set(event.peer, event.hello);
        break;
      case 'peer-down':
        this.peers.delete(event.peer);
        break;
      case 'loss':
        for (const entry of this.entries) {
          if (entry.name !== event.name && entry.dataCentre !== event.name) continue;
          this.fencing?.recordLoss(entry.name, at);
        }
        this.completeFencing();
        break;
      case 'drain':
        this.draining = true;
        this.release();
        break;
    }
  }

  /** Ends the ownership when the lease may have expired, or keeps it in `hold` while a vouch is valid. */
  private checkExpiry(at: number): void {
    if (this.mode === 'none') return;
    if (at < this.leaseUntil) return;
    if (at < this.vouchCollector.validUntil) {
      if (this.mode === 'owner') this.setMode('hold', this.vouchCollector.validUntil);
      return;
    }
    this.lease = undefined;
    this.setMode('none', at);
  }

  private tick(at: number): void {
    if (this.pending && at - this.pending.sentAt >= callTimeoutMs) {
      this.applyResult(this.pending, {result: 'unknown'}, at);
    }
    if (this.mode !== 'none' && this.lease !== undefined) {
      if (!this.pending && at - this.renewalSentAt >= renewIntervalMs) this.renew(at);
    } else if (!this.pending && !this.draining && at >= this.nextContendAt) {
      this.nextContendAt = at + contendIntervalMs;
      this.call('read-owner', {operation: 'read', key: this.ownerKey}, at);
    }
    const needsVouch = this.mode !== 'none' && !this.isStoreReachable;
    if (needsVouch && this.vouchCollector.isRequestDue(at)) this.requestVouches(at);
    if (this.fencing && !this.fencing.isComplete && at - this.fenceSentAt >= fenceIntervalMs) {
      this.sendFences(at);
    }
  }

  private get ownerKey(): string {
    return `cell/${this.options.cell}/owner`;
  }

  private get holderKey(): string {
    return `cell/${this.options.cell}/holder`;
  }

  private call(step: CallStep, call: OwnershipStoreCall, at: number): void {
    const request = this.nextRequest;
    this.nextRequest += 1;
    this.pending = {request, step, sentAt: at};
    this.effects.push({kind: 'store-call', request, call});
  }

  private renew(at: number): void {
    this.renewalSentAt = at;
    this.call('renew', {operation: 'renew-lease', lease: this.lease ?? ''}, at);
  }

  private applyResult(
    pending: PendingCall,
    event: {
      readonly result: string;
      readonly revision?: number;
      readonly value?: unknown;
      readonly lease?: string;
    },
    at: number,
  ): void {
    this.pending = undefined;
    const ok = event.result === 'ok';
    if (ok || event.result === 'mismatch') this.isStoreReachable = true;
    else this.isStoreReachable = false;
    const {revision = 0} = event;
    switch (pending.step) {
      case 'read-owner':
        if (ok) this.claimIfVacant(event.value, revision, at);
        break;
      case 'open-lease':
        if (!ok || event.lease === undefined || this.draining) break;
        this.lease = event.lease;
        this.leaseUntil = pending.sentAt + cellLeaseMs * (1 - safetyFraction);
        this.claim += 1;
        this.writeOwner(at);
        break;
      case 'write-owner':
        if (ok) this.confirmClaim(revision, at);
        // After a lost answer, the next read of the key shows whether the write took effect.
        else this.nextContendAt = event.result === 'unknown' ? at : at + contendIntervalMs;
        break;
      case 'read-holder':
        if (ok) this.writeHolder(event.value, revision, at);
        else this.nextContendAt = at;
        break;
      case 'write-holder':
        if (ok) this.takeOwnership(at);
        else this.nextContendAt = at;
        break;
      case 'renew':
        this.finishRenewal(event.result, pending.sentAt, at);
        break;
    }
  }

  private claimIfVacant(value: unknown, revision: number, at: number): void {
    const owner = value as (PreviousOwner & {claim: number}) | undefined;
    if (owner === undefined || owner === null) {
      if (!this.draining)
        this.call('open-lease', {operation: 'open-lease', ttlMs: cellLeaseMs}, at);
      return;
    }
    const {incarnation} = this.options;
    const isOwnClaim = owner.incarnation === incarnation && owner.claim === this.claim;
    if (isOwnClaim && this.lease !== undefined && at < this.leaseUntil)
      this.confirmClaim(revision, at);
  }

  private writeOwner(at: number): void {
    const {entry, dataCentre, incarnation} = this.options;
    const value = {entry, dataCentre, incarnation, claim: this.claim};
    const lease = this.lease ?? '';
    this.call(
      'write-owner',
      {operation: 'write', key: this.ownerKey, value, expectedRevision: 0, lease},
      at,
    );
  }

  private confirmClaim(revision: number, at: number): void {
    if (at >= this.leaseUntil) return;
    this.claimedTerm = revision;
    this.call('read-holder', {operation: 'read', key: this.holderKey}, at);
  }

  /** Writes the holder key, which outlives the lease, so that the next owner knows which one to fence. */
  private writeHolder(value: unknown, revision: number, at: number): void {
    const {entry, dataCentre, incarnation} = this.options;
    const holder = value as (PreviousOwner & {term: number}) | undefined;
    if (holder?.term === this.claimedTerm && holder.incarnation === incarnation) {
      this.takeOwnership(at);
      return;
    }
    this.previousOwner = holder ?? undefined;
    const next = {entry, dataCentre, incarnation, term: this.claimedTerm};
    const {holderKey: key} = this;
    this.call(
      'write-holder',
      {operation: 'write', key, value: next, expectedRevision: revision},
      at,
    );
  }

  private takeOwnership(at: number): void {
    if (at >= this.leaseUntil || this.draining) return;
    this.term = this.claimedTerm;
    this.renewalSentAt = at;
    this.vouchCollector.clear();
    this.setMode('owner', this.leaseUntil);
    const {cell, entry, incarnation} = this.options;
    // Only a previous owner other than this process may still rely on vouches.
    const canSkipFencing =
      this.previousOwner?.incarnation === incarnation || this.previousOwner === undefined;
    const remainingMs = canSkipFencing ? 0 : this.vouchIssuer.getRemainingMs(cell, at);
    this.vouchIssuer.fence(cell, this.term, at);
    this.fencing = new FencingRound(this.term, entry, this.previousOwner, remainingMs, at);
    if (canSkipFencing) {
      this.effects.push({kind: 'fence-complete', unreportedBlockedUntil: at});
      this.fencing = undefined;
      return;
    }
    this.sendFences(at);
    this.completeFencing();
  }

  private finishRenewal(result: string, sentAt: number, at: number): void {
    if (result === 'ok') {
      this.leaseUntil = Math.max(this.leaseUntil, sentAt + cellLeaseMs * (1 - safetyFraction));
      if (this.mode !== 'none') this.setMode('owner', this.leaseUntil);
      return;
    }
    if (result !== 'mismatch') return;
    // The lease has expired in the store; another entry may own the cell.
    this.leaseUntil = Number.NEGATIVE_INFINITY;
    this.vouchCollector.clear();
    this.lease = undefined;
    this.setMode('none', at);
    this.nextContendAt = at;
  }

  private setMode(mode: OwnershipMode, until: number): void {
    if (mode === this.mode && until === this.announcedUntil) return;
    if (mode !== this.mode) {
      this.effects.push({kind: 'record', event: {kind: 'ownership', detail: mode}});
      if (mode === 'none') this.fencing = undefined;
    }
    this.mode = mode;
    this.announcedUntil = until;
    this.effects.push({kind: 'ownership', mode, term: this.term, until});
  }

  private release(): void {
    if (this.mode === 'none') return;
    const {lease} = this;
    this.lease = undefined;
    this.leaseUntil = Number.NEGATIVE_INFINITY;
    this.vouchCollector.clear();
    this.setMode('none', 0);
    if (lease === undefined) return;
    const request = this.nextRequest;
    this.nextRequest += 1;
    this.effects.push({kind: 'store-call', request, call: {operation: 'close-lease', lease}});
  }

  private requestVouches(at: number): void {
    const {message, to} = this.vouchCollector.createRequest(
      this.term,
      this.entries,
      this.peers,
      at,
    );
    for (const peer of to) this.effects.push({kind: 'send', peer, message});
  }

  private sendFences(at: number): void {
    this.fenceSentAt = at;
    const {cell} = this.options;
    const missing = this.fencing?.getUnanswered(this.entries) ?? [];
    const names = new Set(missing.map(entry => entry.name));
    for (const [peer, hello] of this.peers) {
      if (!names.has(hello.name)) continue;
      this.effects.push({kind: 'send', peer, message: {kind: 'fence', cell, term: this.term}});
    }
  }

  private completeFencing(): void {
    const blockedUntil = this.fencing?.tryComplete(this.entries);
    if (blockedUntil === undefined) return;
    this.effects.push({kind: 'fence-complete', unreportedBlockedUntil: blockedUntil});
  }

  private receive(peer: string, message: Vouch | Vouched | Fence | Fenced, at: number): void {
    const {cell} = this.options;
    if (message.cell !== cell) return;
    switch (message.kind) {
      case 'vouch': {
        const answer = this.vouchIssuer.answerRequest(message, this.isStoreReachable, at);
        this.effects.push({kind: 'send', peer, message: answer});
        break;
      }
      case 'vouched':
        this.acceptVouch(message, at);
        break;
      case 'fence':
        if (message.term > this.term && this.mode !== 'none') {
          this.leaseUntil = Number.NEGATIVE_INFINITY;
          this.vouchCollector.clear();
          this.lease = undefined;
          this.setMode('none', at);
        }
        this.effects.push({
          kind: 'send',
          peer,
          message: this.vouchIssuer.fence(cell, message.term, at),
        });
        break;
      case 'fenced':
        if (message.term !== this.term) break;
        this.fencing?.recordAnswer(message.entry, message.remainingMs, at);
        this.completeFencing();
        break;
    }
  }

  private acceptVouch(message: Vouched, at: number): void {
    if (message.term !== this.term || this.mode === 'none') return;
    if (this.vouchCollector.accept(message) && at >= this.leaseUntil) {
      this.setMode('hold', this.vouchCollector.validUntil);
    }
  }
}

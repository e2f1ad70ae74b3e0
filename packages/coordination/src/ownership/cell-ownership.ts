import type {Fence, Fenced, Hello, Vouch, Vouched} from '../messages/index.js';
import type {Reducer} from '../reducer.js';
import type {OwnershipMode} from '../tasks/events.js';
import type {
  CellOwnershipEffect,
  CellOwnershipEvent,
  OwnershipStoreCall,
  RegisteredEntry,
} from './events.js';
import {Fencing, type PreviousOwner} from './fencing.js';
import {VouchCollector} from './vouch-collector.js';
import {Vouching} from './vouching.js';

/** Time to live of the lease in the store, and the time between two renewals. */
export const cellLeaseMs = 3_000;
const renewMs = 1_000;

/** Part of a lease or vouch that its holder leaves unused, against clock drift. */
const safetyFraction = 0.02;

/** Time between two looks at the owner key by a contender. */
const contendMs = 1_000;

/** Time after which an unanswered store call is given up. */
const callLimitMs = 1_000;

/** Time between two fences to entries that did not answer. */
const fenceIntervalMs = 1_000;

/** Settings of a cell ownership. */
export interface CellOwnershipOptions {
  readonly cell: string;
  readonly entry: string;
  readonly dataCentre: string;
  readonly incarnation: number;
  /** Monotonic time at which the process started. */
  readonly startedAt: number;
}

type Step = 'read-owner' | 'open-lease' | 'write-owner' | 'read-holder' | 'write-holder' | 'renew';

interface PendingCall {
  readonly request: number;
  readonly step: Step;
  readonly sentAt: number;
}

/** Competes for a cell with a lease in the store; keeps it in hold through vouches; fences the old owner. */
export class CellOwnership implements Reducer<CellOwnershipEvent, CellOwnershipEffect> {
  private mode: OwnershipMode = 'none';
  private term = 0;
  private lease?: string;
  /** Time until which the store certainly keeps the lease. */
  private leaseUntil = Number.NEGATIVE_INFINITY;
  private sentUntil = 0;
  private pending?: PendingCall;
  private nextRequest = 1;
  private contendAt = Number.NEGATIVE_INFINITY;
  private renewedAt = Number.NEGATIVE_INFINITY;
  private storeReachable = true;
  private draining = false;
  private claim = 0;
  private claimedTerm = 0;
  private previous?: PreviousOwner;
  private readonly vouches: VouchCollector;
  private fencing?: Fencing;
  private fencedAt = Number.NEGATIVE_INFINITY;
  private entries: readonly RegisteredEntry[] = [];
  private readonly peers = new Map<string, Hello>();
  private readonly vouching: Vouching;
  private effects: CellOwnershipEffect[] = [];

  constructor(private readonly options: CellOwnershipOptions) {
    this.vouching = new Vouching(options.entry, options.startedAt);
    this.vouches = new VouchCollector(options.cell, options.dataCentre, safetyFraction);
  }

  /** @inheritdoc */
  reduce(event: CellOwnershipEvent, at: number): readonly CellOwnershipEffect[] {
    this.effects = [];
    this.checkLapse(at);
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
        this.storeReachable = event.reachable;
        break;
      case 'entries':
        this.entries = event.entries;
        this.finishFence();
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
          this.fencing?.lose(entry.name, at);
        }
        this.finishFence();
        break;
      case 'drain':
        this.draining = true;
        this.release();
        break;
    }
  }

  /** A lease that may have lapsed ends the ownership, except while a vouch is valid. */
  private checkLapse(at: number): void {
    if (this.mode === 'none') return;
    if (at < this.leaseUntil) return;
    if (at < this.vouches.validUntil) {
      if (this.mode === 'owner') this.setMode('hold', this.vouches.validUntil);
      return;
    }
    this.lease = undefined;
    this.setMode('none', at);
  }

  private tick(at: number): void {
    if (this.pending && at - this.pending.sentAt >= callLimitMs) {
      this.applyResult(this.pending, {result: 'unknown'}, at);
    }
    if (this.mode !== 'none' && this.lease !== undefined) {
      if (!this.pending && at - this.renewedAt >= renewMs) this.renew(at);
    } else if (!this.pending && !this.draining && at >= this.contendAt) {
      this.contendAt = at + contendMs;
      this.call('read-owner', {operation: 'read', key: this.ownerKey}, at);
    }
    const needsVouch = this.mode !== 'none' && !this.storeReachable;
    if (needsVouch && this.vouches.isDue(at)) this.askVouches(at);
    if (this.fencing && !this.fencing.isComplete && at - this.fencedAt >= fenceIntervalMs) {
      this.sendFence(at);
    }
  }

  private get ownerKey(): string {
    return `cell/${this.options.cell}/owner`;
  }

  private get holderKey(): string {
    return `cell/${this.options.cell}/holder`;
  }

  private call(step: Step, call: OwnershipStoreCall, at: number): void {
    const request = this.nextRequest;
    this.nextRequest += 1;
    this.pending = {request, step, sentAt: at};
    this.effects.push({kind: 'store-call', request, call});
  }

  private renew(at: number): void {
    this.renewedAt = at;
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
    if (ok || event.result === 'mismatch') this.storeReachable = true;
    else this.storeReachable = false;
    const {revision = 0} = event;
    switch (pending.step) {
      case 'read-owner':
        if (ok) this.contend(event.value, revision, at);
        break;
      case 'open-lease':
        if (!ok || event.lease === undefined || this.draining) break;
        this.lease = event.lease;
        this.leaseUntil = pending.sentAt + cellLeaseMs * (1 - safetyFraction);
        this.claim += 1;
        this.writeOwner(at);
        break;
      case 'write-owner':
        if (ok) this.win(revision, at);
        // After a lost answer the next read of the key tells whether the write took effect.
        else this.contendAt = event.result === 'unknown' ? at : at + contendMs;
        break;
      case 'read-holder':
        if (ok) this.writeHolder(event.value, revision, at);
        else this.contendAt = at;
        break;
      case 'write-holder':
        if (ok) this.take(at);
        else this.contendAt = at;
        break;
      case 'renew':
        this.finishRenewal(event.result, pending.sentAt, at);
        break;
    }
  }

  private contend(value: unknown, revision: number, at: number): void {
    const owner = value as (PreviousOwner & {claim: number}) | undefined;
    if (owner === undefined || owner === null) {
      if (!this.draining)
        this.call('open-lease', {operation: 'open-lease', ttlMs: cellLeaseMs}, at);
      return;
    }
    const {incarnation} = this.options;
    const own = owner.incarnation === incarnation && owner.claim === this.claim;
    if (own && this.lease !== undefined && at < this.leaseUntil) this.win(revision, at);
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

  private win(revision: number, at: number): void {
    if (at >= this.leaseUntil) return;
    this.claimedTerm = revision;
    this.call('read-holder', {operation: 'read', key: this.holderKey}, at);
  }

  /** The holder key outlives the lease and tells the next owner whom it has to fence. */
  private writeHolder(value: unknown, revision: number, at: number): void {
    const {entry, dataCentre, incarnation} = this.options;
    const holder = value as (PreviousOwner & {term: number}) | undefined;
    if (holder?.term === this.claimedTerm && holder.incarnation === incarnation) {
      this.take(at);
      return;
    }
    this.previous = holder ?? undefined;
    const next = {entry, dataCentre, incarnation, term: this.claimedTerm};
    const {holderKey: key} = this;
    this.call(
      'write-holder',
      {operation: 'write', key, value: next, expectedRevision: revision},
      at,
    );
  }

  private take(at: number): void {
    if (at >= this.leaseUntil || this.draining) return;
    this.term = this.claimedTerm;
    this.renewedAt = at;
    this.vouches.clear();
    this.setMode('owner', this.leaseUntil);
    const {cell, entry, incarnation} = this.options;
    const own = this.previous?.incarnation === incarnation || this.previous === undefined;
    const remaining = own ? 0 : this.vouching.getRemaining(cell, at);
    this.vouching.fence(cell, this.term, at);
    this.fencing = new Fencing(this.term, entry, this.previous, remaining, at);
    if (own) {
      this.effects.push({kind: 'fence-complete', unreachableHeldUntil: at});
      this.fencing = undefined;
      return;
    }
    this.sendFence(at);
    this.finishFence();
  }

  private finishRenewal(result: string, sentAt: number, at: number): void {
    if (result === 'ok') {
      this.leaseUntil = Math.max(this.leaseUntil, sentAt + cellLeaseMs * (1 - safetyFraction));
      if (this.mode !== 'none') this.setMode('owner', this.leaseUntil);
      return;
    }
    if (result !== 'mismatch') return;
    // The lease has lapsed in the store; another entry may own the cell.
    this.leaseUntil = Number.NEGATIVE_INFINITY;
    this.vouches.clear();
    this.lease = undefined;
    this.setMode('none', at);
    this.contendAt = at;
  }

  private setMode(mode: OwnershipMode, until: number): void {
    if (mode === this.mode && until === this.sentUntil) return;
    if (mode !== this.mode) {
      this.effects.push({kind: 'record', event: {kind: 'ownership', detail: mode}});
      if (mode === 'none') this.fencing = undefined;
    }
    this.mode = mode;
    this.sentUntil = until;
    this.effects.push({kind: 'ownership', mode, term: this.term, until});
  }

  private release(): void {
    if (this.mode === 'none') return;
    const {lease} = this;
    this.lease = undefined;
    this.leaseUntil = Number.NEGATIVE_INFINITY;
    this.vouches.clear();
    this.setMode('none', 0);
    if (lease === undefined) return;
    const request = this.nextRequest;
    this.nextRequest += 1;
    this.effects.push({kind: 'store-call', request, call: {operation: 'close-lease', lease}});
  }

  private askVouches(at: number): void {
    const {message, to} = this.vouches.ask(this.term, this.entries, this.peers, at);
    for (const peer of to) this.effects.push({kind: 'send', peer, message});
  }

  private sendFence(at: number): void {
    this.fencedAt = at;
    const {cell} = this.options;
    const missing = this.fencing?.getMissing(this.entries) ?? [];
    const names = new Set(missing.map(entry => entry.name));
    for (const [peer, hello] of this.peers) {
      if (!names.has(hello.name)) continue;
      this.effects.push({kind: 'send', peer, message: {kind: 'fence', cell, term: this.term}});
    }
  }

  private finishFence(): void {
    const heldUntil = this.fencing?.finish(this.entries);
    if (heldUntil === undefined) return;
    this.effects.push({kind: 'fence-complete', unreachableHeldUntil: heldUntil});
  }

  private receive(peer: string, message: Vouch | Vouched | Fence | Fenced, at: number): void {
    const {cell} = this.options;
    if (message.cell !== cell) return;
    switch (message.kind) {
      case 'vouch': {
        const answer = this.vouching.answer(message, this.storeReachable, at);
        this.effects.push({kind: 'send', peer, message: answer});
        break;
      }
      case 'vouched':
        this.acceptVouch(message, at);
        break;
      case 'fence':
        if (message.term > this.term && this.mode !== 'none') {
          this.leaseUntil = Number.NEGATIVE_INFINITY;
          this.vouches.clear();
          this.lease = undefined;
          this.setMode('none', at);
        }
        this.effects.push({
          kind: 'send',
          peer,
          message: this.vouching.fence(cell, message.term, at),
        });
        break;
      case 'fenced':
        if (message.term !== this.term) break;
        this.fencing?.answer(message.entry, message.remainingMs, at);
        this.finishFence();
        break;
    }
  }

  private acceptVouch(message: Vouched, at: number): void {
    if (message.term !== this.term || this.mode === 'none') return;
    if (this.vouches.accept(message) && at >= this.leaseUntil) {
      this.setMode('hold', this.vouches.validUntil);
    }
  }
}

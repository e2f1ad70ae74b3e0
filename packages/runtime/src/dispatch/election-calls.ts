import {
  type Clock,
  type ElectionEffect,
  type ElectionEvent,
  getClaimDelayMs,
  type OwnerRecord,
} from '@chervilbeam/coordination';
import type {DecisionLogger} from './decision-logger.js';
import type {RecordStore} from './record-store.js';
import {type EntryRecord, parseOwner} from './stored-state.js';
import {entryPrefix, generationKey, ownerKey} from './store-keys.js';

/** Options of `ElectionCalls`. */
export interface ElectionCallsOptions {
  readonly name: string;
  /** Address on which other processes reach this one. */
  readonly address: string;
  /** Processors that this process has. */
  readonly processors: number;
  readonly store: RecordStore;
  /** Clock for the validity of leases. */
  readonly clock: Clock;
  readonly log: DecisionLogger;
  /** Returns the processors of the other entries; undefined while they are not known. */
  readonly getOthers: () => readonly number[] | undefined;
  /** Tells the election what has come of a call. */
  readonly post: (event: ElectionEvent) => void;
}

/** Calls to the store by which an entry competes for the ownership. */
export class ElectionCalls {
  /** Time in milliseconds of the newest call that opened a lease. */
  private roundTripMs = 0;

  constructor(private readonly options: ElectionCallsOptions) {}

  /** Opens a lease and registers the entry under it. */
  async openLease(ttlMs: number): Promise<void> {
    const {store, name, address, processors} = this.options;
    const entry: EntryRecord = {address, processors};
    const sentAt = this.options.clock.now();
    const result = await store.openLease(ttlMs);
    if (result.kind !== 'ok') {
      this.options.post({kind: 'call-failed', call: 'open-lease'});
      return;
    }
    this.roundTripMs = this.options.clock.now() - sentAt;
    this.delayClaim();
    this.options.post({kind: 'lease-opened', lease: result.lease, sentAt});
    const registration = await store.commit({
      conditions: [],
      writes: [{key: entryPrefix + name, value: JSON.stringify(entry), lease: result.lease}],
      removals: [],
    });
    if (registration.kind !== 'ok') {
      this.options.log.warn('registration-failed', {result: registration.kind});
    }
  }

  /** Tells the election how long to wait before it claims a vacant ownership. */
  delayClaim(): void {
    const {processors, getOthers} = this.options;
    const {roundTripMs} = this;
    const delayMs = getClaimDelayMs({roundTripMs, processors, others: getOthers()});
    this.options.post({kind: 'claim-delay', delayMs});
  }

  /** Renews a lease. */
  async keepLease(lease: string): Promise<void> {
    const {store} = this.options;
    const sentAt = this.options.clock.now();
    const result = await store.keepLease(lease);
    if (result.kind === 'ok') this.options.post({kind: 'lease-kept', sentAt});
    else if (result.kind === 'no-lease') this.options.post({kind: 'lease-ended'});
    else this.options.post({kind: 'call-failed', call: 'keep-lease'});
  }

  /** Claims the ownership. */
  async claim(effect: Extract<ElectionEffect, {kind: 'claim'}>): Promise<void> {
    const {lease, nonce, replaces} = effect;
    const {store, name, address} = this.options;
    const last = await store.read(generationKey);
    if (last.kind !== 'ok') return this.failClaim();
    const generation = Number(last.record?.value ?? 0) + 1;
    const owner: OwnerRecord = {name, address, nonce};
    const result = await store.commit({
      conditions: [
        {key: ownerKey, revision: replaces},
        {key: generationKey, revision: last.record?.revision ?? 0},
      ],
      writes: [
        {key: ownerKey, value: JSON.stringify(owner), lease},
        {key: generationKey, value: String(generation)},
      ],
      removals: [],
    });
    if (result.kind === 'ok') {
      this.options.post({kind: 'claimed', revision: result.revision, generation});
    } else if (result.kind === 'unknown') await this.checkClaim(nonce, generation);
    else if (result.kind === 'no-lease') this.options.post({kind: 'lease-ended'});
    else this.failClaim();
  }

  /** After a lost answer the key itself tells whether the claim took effect. */
  private async checkClaim(nonce: string, generation: number): Promise<void> {
    const result = await this.options.store.read(ownerKey);
    const {record} = result.kind === 'ok' ? result : {record: undefined};
    if (record && parseOwner(record.value)?.nonce === nonce) {
      this.options.post({kind: 'claimed', revision: record.revision, generation});
    } else this.failClaim();
  }

  private failClaim(): void {
    this.options.post({kind: 'call-failed', call: 'claim'});
  }
}

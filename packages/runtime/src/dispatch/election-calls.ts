import {
  type Clock,
  type ElectionEffect,
  type ElectionEvent,
  getClaimDelayMs,
  type OwnerRecord,
} from '@chervilbeam/coordination';
import type {DecisionLogger} from './decision-logger.js';
import type {RecordStore} from './record-store.js';
import {type EntryRecord, parseOwner} from './record-parsers.js';
import {entryPrefix, generationKey, ownerKey} from './store-keys.js';

/** Options of `ElectionCalls`. */
export interface ElectionCallsOptions {
  readonly name: string;
  /** Address at which other processes reach this one. */
  readonly address: string;
  /** Number of processors available to this process. */
  readonly processors: number;
  readonly store: RecordStore;
  /** Clock that measures the validity of leases. */
  readonly clock: Clock;
  readonly log: DecisionLogger;
  /** Returns the number of processors of each other entry; undefined until the entries have been listed. */
  readonly getOtherProcessors: () => readonly number[] | undefined;
  /** Posts the outcome of a call to the election. */
  readonly post: (event: ElectionEvent) => void;
}

/** Store calls of the leader election: leases, entry registration and ownership claims. */
export class ElectionCalls {
  /** Round-trip time in milliseconds of the latest successful call that opened a lease. */
  private roundTripMs = 0;

  constructor(private readonly options: ElectionCallsOptions) {}

  /** Opens a lease of `ttlMs` milliseconds and registers the entry under it. */
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
    this.updateClaimDelay();
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

  /** Updates the delay after which the election claims a vacant ownership. */
  updateClaimDelay(): void {
    const {processors, getOtherProcessors} = this.options;
    const {roundTripMs} = this;
    const delayMs = getClaimDelayMs({
      roundTripMs,
      processors,
      otherProcessors: getOtherProcessors(),
    });
    this.options.post({kind: 'claim-delay', delayMs});
  }

  /** Renews a lease. */
  async renewLease(lease: string): Promise<void> {
    const {store} = this.options;
    const sentAt = this.options.clock.now();
    const result = await store.renewLease(lease);
    if (result.kind === 'ok') this.options.post({kind: 'lease-kept', sentAt});
    else if (result.kind === 'no-lease') this.options.post({kind: 'lease-ended'});
    else this.options.post({kind: 'call-failed', call: 'keep-lease'});
  }

  /** Claims the ownership, on condition that neither the owner key nor the generation has changed since it was read. */
  async claim(effect: Extract<ElectionEffect, {kind: 'claim'}>): Promise<void> {
    const {lease, nonce, expectedRevision} = effect;
    const {store, name, address} = this.options;
    const generationRead = await store.read(generationKey);
    if (generationRead.kind !== 'ok') return this.postClaimFailure();
    const generation = Number(generationRead.record?.value ?? 0) + 1;
    const owner: OwnerRecord = {name, address, nonce};
    const result = await store.commit({
      conditions: [
        {key: ownerKey, revision: expectedRevision},
        {key: generationKey, revision: generationRead.record?.revision ?? 0},
      ],
      writes: [
        {key: ownerKey, value: JSON.stringify(owner), lease},
        {key: generationKey, value: String(generation)},
      ],
      removals: [],
    });
    if (result.kind === 'ok') {
      this.options.post({kind: 'claimed', revision: result.revision, generation});
    } else if (result.kind === 'unknown') await this.verifyClaim(nonce, generation);
    else if (result.kind === 'no-lease') this.options.post({kind: 'lease-ended'});
    else this.postClaimFailure();
  }

  /** Reads the owner key to find out whether a claim without a reply took effect. */
  private async verifyClaim(nonce: string, generation: number): Promise<void> {
    const result = await this.options.store.read(ownerKey);
    const {record} = result.kind === 'ok' ? result : {record: undefined};
    if (record && parseOwner(record.value)?.nonce === nonce) {
      this.options.post({kind: 'claimed', revision: record.revision, generation});
    } else this.postClaimFailure();
  }

  private postClaimFailure(): void {
    this.options.post({kind: 'call-failed', call: 'claim'});
  }
}

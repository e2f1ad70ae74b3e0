import {
  type Clock,
  type ElectionEffect,
  type ElectionEvent,
  getClaimDelayMs,
  type OwnerRecord,
} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import {parseGeneration, parseOwner, parseOwners} from '../records/record-parsers.js';
import type {RecordStore, StoredRecord} from '../records/record-store.js';
import {generationKey, ownerKey, ownersKey} from '../records/store-keys.js';
import {EntryRegistrar} from './entry-registrar.js';

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
  /** Returns the smallest round trip in milliseconds of all store calls of this process; undefined before the first one. */
  readonly getRoundTripMs?: () => number | undefined;
  /** Posts the outcome of a call to the election. */
  readonly post: (event: ElectionEvent) => void;
}

/** Store calls of the leader election: leases, entry registration and ownership claims. */
export class ElectionCalls {
  /** Smallest round-trip time in milliseconds of the calls that opened or renewed a lease. */
  private leaseRoundTripMs = Number.POSITIVE_INFINITY;
  private latestNonce = '';
  private previousOwners: readonly OwnerRecord[] | undefined;
  /** Revision of an unreadable owner record that the latest claim has met, otherwise 0. */
  private unreadableOwnerRevision = 0;
  private readonly registrar: EntryRegistrar;

  constructor(private readonly options: ElectionCallsOptions) {
    this.registrar = new EntryRegistrar(options);
  }

  /** Owners before the latest claim whose leases may still be valid; undefined when they are not known. */
  get predecessors(): readonly OwnerRecord[] | undefined {
    return this.previousOwners;
  }

  /** Nonce of the latest claim; empty before the first one. */
  get nonce(): string {
    return this.latestNonce;
  }

  /** Smallest round-trip time in milliseconds of a store call of this process; infinite before the first one. */
  get roundTripMs(): number {
    const {getRoundTripMs} = this.options;
    return Math.min(this.leaseRoundTripMs, getRoundTripMs?.() ?? Number.POSITIVE_INFINITY);
  }

  /** Opens a lease of `ttlMs` milliseconds and registers the entry under it. */
  async openLease(ttlMs: number): Promise<void> {
    const {store} = this.options;
    const sentAt = this.options.clock.now();
    const result = await store.openLease(ttlMs);
    if (result.kind !== 'ok') {
      this.options.post({kind: 'call-failed', call: 'open-lease'});
      return;
    }
    this.recordRoundTrip(sentAt);
    this.updateClaimDelay();
    this.options.post({kind: 'lease-opened', lease: result.lease, sentAt});
    await this.registrar.register(result.lease);
  }

  /** Updates the delay after which the election claims a vacant ownership. */
  updateClaimDelay(): void {
    const {processors, getOtherProcessors} = this.options;
    const delayMs = getClaimDelayMs({
      roundTripMs: this.roundTripMs,
      processors,
      otherProcessors: getOtherProcessors(),
    });
    this.options.post({kind: 'claim-delay', delayMs});
  }

  /** Renews a lease, and registers the entry under it if that has failed before. */
  async renewLease(lease: string): Promise<void> {
    const {store} = this.options;
    const sentAt = this.options.clock.now();
    const result = await store.renewLease(lease);
    if (result.kind === 'ok') {
      this.recordRoundTrip(sentAt);
      this.options.post({kind: 'lease-kept', sentAt});
      await this.registrar.register(lease);
    } else if (result.kind === 'no-lease') this.options.post({kind: 'lease-ended'});
    else this.options.post({kind: 'call-failed', call: 'keep-lease'});
  }

  /**
   * Claims the ownership, on condition that the owner key, the generation and the owners are unchanged since they were
   * read. An unreadable owner record names no owner: the claim after the one that met it replaces it.
   */
  async claim(effect: Extract<ElectionEffect, {kind: 'claim'}>): Promise<void> {
    const {lease, nonce} = effect;
    const expectedRevision = effect.expectedRevision || this.unreadableOwnerRevision;
    this.latestNonce = nonce;
    const {store, name, address} = this.options;
    const [generationRead, ownersRead] = await Promise.all([
      store.read(generationKey),
      store.read(ownersKey),
    ]);
    if (generationRead.kind !== 'ok' || ownersRead.kind !== 'ok') return this.postClaimFailure();
    const generation = this.getNextGeneration(generationRead.record);
    const owner: OwnerRecord = {name, address, nonce};
    // Without a list, as before the first owner of this version, nothing is known of the owners before.
    const owners = ownersRead.record && parseOwners(ownersRead.record.value);
    this.previousOwners = generation === 1 ? [] : owners;
    const result = await store.commit({
      conditions: [
        {key: ownerKey, revision: expectedRevision},
        {key: generationKey, revision: generationRead.record?.revision ?? 0},
        // The two reads are not a snapshot: an owner may have been added after the list was read.
        {key: ownersKey, revision: ownersRead.record?.revision ?? 0},
      ],
      writes: [
        {key: ownerKey, value: JSON.stringify(owner), lease},
        {key: generationKey, value: String(generation)},
        ...this.getOwnersWrite(owner),
      ],
      removals: [],
    });
    const current = result.kind === 'conflict' ? result.current : [];
    this.unreadableOwnerRevision = this.findUnreadableOwner(current)?.revision ?? 0;
    if (result.kind === 'ok') {
      this.options.post({kind: 'claimed', revision: result.revision, generation});
    } else if (result.kind === 'unknown') await this.verifyClaim(nonce, generation);
    else if (result.kind === 'no-lease') this.options.post({kind: 'lease-ended'});
    else this.postClaimFailure();
  }

  private recordRoundTrip(sentAt: number): void {
    this.leaseRoundTripMs = Math.min(this.leaseRoundTripMs, this.options.clock.now() - sentAt);
  }

  /** Each claim changes the store, so the revision of an unreadable generation exceeds the number of claims before. */
  private getNextGeneration(record: StoredRecord | undefined): number {
    if (record === undefined) return 1;
    const generation = parseGeneration(record);
    if (generation === undefined) this.logUnreadable(record);
    return (generation ?? record.revision) + 1;
  }

  private findUnreadableOwner(records: readonly StoredRecord[]): StoredRecord | undefined {
    const record = records.find(({key}) => key === ownerKey);
    if (record === undefined || parseOwner(record.value) !== undefined) return undefined;
    this.logUnreadable(record);
    return record;
  }

  private logUnreadable({key, revision}: StoredRecord): void {
    this.options.log.warn('record-unreadable', {key, revision});
  }

  private getOwnersWrite(owner: OwnerRecord): ReadonlyArray<{key: string; value: string}> {
    const {previousOwners} = this;
    if (previousOwners === undefined) return [];
    return [{key: ownersKey, value: JSON.stringify([...previousOwners, owner])}];
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

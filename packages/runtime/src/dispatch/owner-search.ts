import type {Clock} from '@chervilbeam/coordination';
import type {DecisionLogger} from './decision-logger.js';
import {RecordWatch} from './record-watch.js';
import type {RecordChange, RecordStore, StoredRecord} from './record-store.js';
import {entryPrefix, ownerKey} from './store-keys.js';
import {parseEntry, parseOwner} from './stored-state.js';

/** Longest time in milliseconds that one watch of the owner's key waits, without an owner and with one. */
const searchWaitMs = 1_000;
const followWaitMs = 25_000;
/** Time in milliseconds between two attempts to reach the owner, or an entry that may know it. */
const attemptMs = 300;
/** Time in milliseconds without an answer of the store after which other entries are asked for the owner. */
const storeSilenceMs = 1_500;

/** Options of `OwnerSearch`. */
export interface OwnerSearchOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  /** Addresses of entries that may be up, asked while the store does not answer. */
  readonly seeds: readonly string[];
  /** Called with the address of the owner and its term. */
  readonly onOwner: (address: string, term: number) => void;
  /** Called with the address of an entry that may know the owner. */
  readonly onEntry: (address: string) => void;
}

/**
 * Finds the owner of the submissions: in the store as soon as one claims it, and through other entries while the
 * store does not answer. Once the owner is reached, its key is followed, since an owner that is cut off or stands
 * still cannot say that it has been replaced.
 */
export class OwnerSearch {
  private entries: readonly string[];
  private nextEntry = 0;
  private owner: {readonly address: string; readonly term: number} | undefined;
  private isReached = false;
  private watch: RecordWatch | undefined;
  private timer: NodeJS.Timeout | undefined;
  private startedAt = 0;

  constructor(private readonly options: OwnerSearchOptions) {
    this.entries = options.seeds;
  }

  /** Takes in addresses of entries. */
  setEntries(entries: readonly string[]): void {
    if (entries.length > 0) this.entries = entries;
  }

  /** Searches for an owner; does nothing when the search is on. */
  start(): void {
    if (this.watch !== undefined && !this.isReached) return;
    this.stop();
    const {store, clock, log} = this.options;
    this.isReached = false;
    this.owner = undefined;
    this.startedAt = clock.now();
    this.watch = new RecordWatch({
      store,
      clock,
      log,
      prefix: ownerKey,
      getWaitMs: () => (this.isReached ? followWaitMs : searchWaitMs),
      onList: records => this.see(records[0]),
      onChanges: changes => this.seeChange(changes.at(-1)),
    });
    void this.watch.run();
    this.timer = setInterval(() => this.attempt(), attemptMs);
    if (this.entries.length === 0) void this.listEntries();
  }

  /** Ends the attempts to reach an owner, and follows who owns. */
  settle(): void {
    this.isReached = true;
    clearInterval(this.timer);
  }

  /** Ends everything. */
  stop(): void {
    clearInterval(this.timer);
    this.watch?.stop();
    this.watch = undefined;
  }

  private seeChange(change: RecordChange | undefined): void {
    if (change?.kind === 'written') this.see(change.record);
    else if (change) this.see(undefined);
  }

  private see(record: StoredRecord | undefined): void {
    const address = record && parseOwner(record.value)?.address;
    this.owner = record && address !== undefined ? {address, term: record.revision} : undefined;
    this.tellOwner();
  }

  private tellOwner(): void {
    if (this.owner !== undefined) this.options.onOwner(this.owner.address, this.owner.term);
  }

  private attempt(): void {
    if (this.owner !== undefined) return this.tellOwner();
    const heardAt = Math.max(this.watch?.confirmedAt ?? 0, this.startedAt);
    // As long as the store answers, no entry knows the owner better.
    if (this.options.clock.now() - heardAt < storeSilenceMs || this.entries.length === 0) return;
    this.nextEntry += 1;
    const address = this.entries[this.nextEntry % this.entries.length];
    if (address !== undefined) this.options.onEntry(address);
  }

  private async listEntries(): Promise<void> {
    const list = await this.options.store.list(entryPrefix, {stale: true});
    if (list.kind !== 'ok') return;
    const entries = list.records.map(record => parseEntry(record.value));
    this.setEntries(entries.flatMap(entry => entry?.address ?? []));
  }
}

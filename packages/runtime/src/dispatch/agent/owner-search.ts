import type {Clock} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import {parseEntry, parseOwner} from '../records/record-parsers.js';
import type {RecordChange, RecordStore, StoredRecord} from '../records/record-store.js';
import {RecordWatch} from '../records/record-watch.js';
import {entryPrefix, ownerKey} from '../records/store-keys.js';

/** Long-poll time in milliseconds of a watch on the owner key while no owner is reached. */
const searchWaitMs = 1_000;
/** Long-poll time in milliseconds of a watch on the owner key while an owner is reached. */
const followWaitMs = 25_000;
/** Interval in milliseconds between attempts to reach the owner or an entry that may know it. */
const attemptIntervalMs = 300;
/** Time in milliseconds without a reply from the store after which entries are asked for the owner. */
const storeUnresponsiveMs = 1_500;

/** Options of `OwnerSearch`. */
export interface OwnerSearchOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  /** Addresses of entries to ask while the store does not answer; they need not be up. */
  readonly seeds: readonly string[];
  /** Called with the address of the owner and its term. */
  readonly onOwner: (address: string, term: number) => void;
  /** Called with the address of an entry that may know the owner. */
  readonly onEntry: (address: string) => void;
}

/**
 * Finds the owner of the submissions: by watching the owner key in the store, or through other entries while the
 * store does not answer. The watch continues after the owner is reached, because an owner that is partitioned or
 * paused cannot announce that it has been replaced.
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

  /** Replaces the addresses of entries to ask; an empty list is ignored. */
  setEntries(entries: readonly string[]): void {
    if (entries.length > 0) this.entries = entries;
  }

  /** Starts to search for the owner; does nothing while a search is running. */
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
      onList: records => this.handleOwnerRecord(records[0]),
      onChanges: changes => this.handleOwnerChange(changes.at(-1)),
    });
    void this.watch.run();
    this.timer = setInterval(() => this.attempt(), attemptIntervalMs);
    if (this.entries.length === 0) void this.listEntries();
  }

  /** Stops the attempts to reach an owner; the watch on the owner key continues. */
  confirmReached(): void {
    this.isReached = true;
    clearInterval(this.timer);
  }

  /** Stops the attempts and the watch. */
  stop(): void {
    clearInterval(this.timer);
    this.watch?.stop();
    this.watch = undefined;
  }

  private handleOwnerChange(change: RecordChange | undefined): void {
    if (change?.kind === 'written') this.handleOwnerRecord(change.record);
    else if (change) this.handleOwnerRecord(undefined);
  }

  private handleOwnerRecord(record: StoredRecord | undefined): void {
    const address = record && parseOwner(record.value)?.address;
    this.owner = record && address !== undefined ? {address, term: record.revision} : undefined;
    this.notifyOwner();
  }

  private notifyOwner(): void {
    if (this.owner !== undefined) this.options.onOwner(this.owner.address, this.owner.term);
  }

  /** Reports the known owner again, or the next entry to ask while the store does not answer. */
  private attempt(): void {
    if (this.owner !== undefined) return this.notifyOwner();
    const lastAnswerAt = Math.max(this.watch?.confirmedAt ?? 0, this.startedAt);
    // While the store answers, it is more up to date than any entry.
    if (this.options.clock.now() - lastAnswerAt < storeUnresponsiveMs || this.entries.length === 0)
      return;
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

import {
  type Clock,
  defaultElectionTiming,
  type ElectionTiming,
  type OwnerRecord,
} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import {parseOwner} from '../records/record-parsers.js';
import type {RecordChange, RecordStore, StoredRecord} from '../records/record-store.js';
import {getBoundedWaitMs, RecordWatch} from '../records/record-watch.js';
import {ownerKey} from '../records/store-keys.js';

/** Options of `OwnerKeyWatch`. */
export interface OwnerKeyWatchOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly electionTiming?: Partial<ElectionTiming>;
  /** Called with each owner record, and the revision of the key, or of the store when the key is absent. */
  readonly onOwner: (owner: OwnerRecord | undefined, revision: number) => void;
}

/** Watches the owner record in the store. */
export class OwnerKeyWatch {
  private readonly watch: RecordWatch;

  constructor(private readonly options: OwnerKeyWatchOptions) {
    const {leaseTtlMs} = {...defaultElectionTiming, ...options.electionTiming};
    this.watch = new RecordWatch({
      ...options,
      prefix: ownerKey,
      // A watch that has gone silent delays a takeover no longer than the lease of the former owner does.
      getWaitMs: () => getBoundedWaitMs(leaseTtlMs),
      onList: (records, revision) => this.handle(records[0], revision),
      onChanges: changes => this.handleChange(changes.at(-1)),
    });
  }

  /** Watches until `stop` is called. */
  run(): void {
    void this.watch.run();
  }

  /** Stops watching. */
  stop(): void {
    this.watch.stop();
  }

  /** Reads the record once, also after `stop`. */
  async refresh(): Promise<void> {
    const result = await this.options.store.read(ownerKey);
    if (result.kind === 'ok') this.handle(result.record, result.revision);
  }

  /** Handles a record that was read elsewhere, or its absence at a revision of the store. */
  handle(record: StoredRecord | undefined, storeRevision: number): void {
    const owner = record && parseOwner(record.value);
    this.options.onOwner(owner, record?.revision ?? storeRevision);
  }

  private handleChange(change: RecordChange | undefined): void {
    if (change?.kind === 'written') this.handle(change.record, change.record.revision);
    else if (change) this.handle(undefined, change.revision);
  }
}

import type {DecisionLogger} from '../decision-logger.js';
import type {EntryRecord} from '../records/record-parsers.js';
import type {RecordStore} from '../records/record-store.js';
import {entryPrefix} from '../records/store-keys.js';

/** Attempts of one registration; each conflict shows the revision that the next attempt replaces. */
const maxAttempts = 3;

/** Options of `EntryRegistrar`. */
export interface EntryRegistrarOptions {
  readonly name: string;
  /** Address at which other processes reach this one. */
  readonly address: string;
  /** Number of processors available to this process. */
  readonly processors: number;
  readonly store: RecordStore;
  readonly log: DecisionLogger;
}

/**
 * Keeps the record of this entry in the store, bound to its latest lease. Each write replaces a known revision, so that
 * one under an older lease that takes effect late does not replace a newer record, which would disappear with that lease.
 */
export class EntryRegistrar {
  private readonly key: string;
  /** Latest known revision of the record; 0 when it is absent. */
  private revision = 0;
  private registeredLease: string | undefined;
  private isWriting = false;

  constructor(private readonly options: EntryRegistrarOptions) {
    this.key = entryPrefix + options.name;
  }

  /** Writes the record unless it is already bound to the lease or a write is under way. */
  async register(lease: string): Promise<void> {
    if (this.registeredLease === lease || this.isWriting) return;
    this.isWriting = true;
    try {
      await this.write(lease);
    } finally {
      this.isWriting = false;
    }
  }

  private async write(lease: string): Promise<void> {
    const {store, log, address, processors} = this.options;
    const {key} = this;
    const entry: EntryRecord = {address, processors};
    for (let attempt = 1; ; attempt += 1) {
      const result = await store.commit({
        conditions: [{key, revision: this.revision}],
        writes: [{key, value: JSON.stringify(entry), lease}],
        removals: [],
      });
      if (result.kind === 'ok') {
        this.revision = result.revision;
        this.registeredLease = lease;
        return;
      }
      if (result.kind === 'conflict')
        this.revision = result.current.find(record => record.key === key)?.revision ?? 0;
      if (result.kind !== 'conflict' || attempt === maxAttempts) {
        log.warn('registration-failed', {result: result.kind});
        return;
      }
    }
  }
}

import type {Clock, DispatchEvent} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import {parseSubmission} from '../records/record-parsers.js';
import type {RecordChange, RecordStore, StoredRecord} from '../records/record-store.js';
import {getBoundedWaitMs, RecordWatch} from '../records/record-watch.js';
import {cancelPrefix, ownerKey, submissionPrefix, workPrefix} from '../records/store-keys.js';

/** Options of `WorkWatch`. */
export interface WorkWatchOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  /**
   * Time in milliseconds within which a stored cancel must be posted, also when a connection to the store goes silent; 3,000 by
   * default.
   */
  readonly cancelBoundMs?: number;
  readonly post: (event: DispatchEvent) => void;
  /** Called with each owner record that is written. */
  readonly onOwnerRecord: (record: StoredRecord) => void;
}

const defaultCancelBoundMs = 3_000;

/** Watches the submissions and cancel requests in the store, and the owner record beside them, for the owner. */
export class WorkWatch {
  private readonly watch: RecordWatch;

  constructor(private readonly options: WorkWatchOptions) {
    const {cancelBoundMs = defaultCancelBoundMs} = options;
    this.watch = new RecordWatch({
      ...options,
      prefix: workPrefix,
      getWaitMs: () => getBoundedWaitMs(cancelBoundMs),
      onList: () => {},
      // The records of all submissions together may not fit into the memory.
      onPage: records => this.handleRecords(records),
      onChanges: changes => this.handleChanges(changes),
    });
  }

  /** Watches changes after a revision until `stop`. */
  run(revision: number): void {
    void this.watch.run(revision);
  }

  /** Stops watching. */
  stop(): void {
    this.watch.stop();
  }

  private handleRecords(records: readonly StoredRecord[]): void {
    for (const record of records) this.handleRecord(record);
  }

  private handleChanges(changes: readonly RecordChange[]): void {
    for (const change of changes) if (change.kind === 'written') this.handleRecord(change.record);
  }

  private handleRecord(record: StoredRecord): void {
    const {key, value, revision} = record;
    const {post, log, onOwnerRecord} = this.options;
    if (key.startsWith(submissionPrefix)) {
      const submission = parseSubmission(value);
      if (submission?.id === key.slice(submissionPrefix.length))
        post({kind: 'submitted', submission});
      else log.warn('record-unreadable', {key, revision});
    } else if (key.startsWith(cancelPrefix)) {
      const id = key.slice(cancelPrefix.length);
      log.log('cancel-received', {submission: id, from: 'store', revision});
      post({kind: 'cancelled', id});
    } else if (key === ownerKey) onOwnerRecord(record);
  }
}

import type {DecisionLogger} from '../decision-logger.js';
import type {StoredRecord} from './record-store.js';

/** Logs each unreadable record once, however often it is read, and again when it has changed. */
export class UnreadableRecords {
  /** Revision of the latest line, by key. */
  private readonly logged = new Map<string, number>();

  constructor(private readonly log: DecisionLogger) {}

  /** Logs a record unless it was logged before. */
  report({key, revision}: StoredRecord): void {
    if (this.logged.get(key) === revision) return;
    this.logged.set(key, revision);
    this.log.warn('record-unreadable', {key, revision});
  }
}

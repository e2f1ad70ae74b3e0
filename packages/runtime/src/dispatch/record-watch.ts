import type {Clock} from '@chervilbeam/coordination';
import type {DecisionLogger} from './decision-logger.js';
import type {RecordChange, RecordStore, StoredRecord} from './record-store.js';

/** Options of `RecordWatch`. */
export interface RecordWatchOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  /** Prefix of the keys. */
  readonly prefix: string;
  /** Returns the longest time in milliseconds that the next call waits. */
  readonly getWaitMs?: () => number;
  /** Receives all records after each full read. */
  readonly onList: (records: readonly StoredRecord[], revision: number) => void;
  /** Receives changes in the order of their revisions. */
  readonly onChanges: (changes: readonly RecordChange[], revision: number) => void;
}

/** A broken connection shows after this time at the latest. */
const defaultWaitMs = 4_000;
/** First and longest time in milliseconds between two attempts while the store does not answer. */
const firstRetryMs = 100;
const longestRetryMs = 800;

/** Follows the keys with a prefix: reads them all, then waits for changes, and reads again when history is gone. */
export class RecordWatch {
  /** Time at which the store last confirmed that everything is known, on the given clock. */
  confirmedAt = Number.NEGATIVE_INFINITY;
  private isStopped = false;
  private revision: number | undefined;
  private failures = 0;

  constructor(private readonly options: RecordWatchOptions) {}

  /** Follows until `stop`; with a revision, what is known up to it is not read again. */
  async run(revision?: number): Promise<void> {
    this.revision = revision;
    while (!this.isStopped) {
      const isAnswered = this.revision === undefined ? await this.list() : await this.watch();
      if (isAnswered) this.failures = 0;
      else await this.pause();
    }
  }

  /** Stops following. */
  stop(): void {
    this.isStopped = true;
  }

  private async list(): Promise<boolean> {
    const {store, prefix, clock} = this.options;
    const sentAt = clock.now();
    const result = await store.list(prefix);
    if (this.isStopped || result.kind !== 'ok') return this.note(result);
    this.confirmedAt = sentAt;
    this.revision = result.revision;
    this.options.onList(result.records, result.revision);
    return true;
  }

  private async watch(): Promise<boolean> {
    const {store, prefix, clock, getWaitMs, log} = this.options;
    const waitMs = getWaitMs?.() ?? defaultWaitMs;
    const sentAt = clock.now();
    const result = await store.watch(prefix, this.revision ?? 0, waitMs);
    if (this.isStopped) return true;
    if (result.kind === 'compacted') {
      log.log('watch-history-gone', {prefix, revision: this.revision});
      this.revision = undefined;
      return true;
    }
    if (result.kind !== 'ok') return this.note(result);
    this.confirmedAt = sentAt;
    this.revision = Math.max(this.revision ?? 0, result.revision);
    if (result.changes.length > 0) this.options.onChanges(result.changes, result.revision);
    return true;
  }

  private note(result: {readonly kind: string; readonly detail?: string}): boolean {
    if (this.isStopped || result.kind === 'ok') return true;
    this.failures += 1;
    if (this.failures === 1) {
      const {prefix, log} = this.options;
      log.warn('watch-failed', {prefix, result: result.kind, detail: result.detail});
    }
    return false;
  }

  private async pause(): Promise<void> {
    const ms = Math.min(longestRetryMs, firstRetryMs * 2 ** Math.min(8, this.failures - 1));
    await new Promise(resolve => setTimeout(resolve, ms));
  }
}

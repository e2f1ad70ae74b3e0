import type {Clock} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import {
  type RecordChange,
  type RecordStore,
  type StoredRecord,
  watchGraceMs,
} from './record-store.js';

/** Options of `RecordWatch`. */
export interface RecordWatchOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  /** Prefix of the keys; one that does not end with a slash is a single key. */
  readonly prefix: string;
  /** Returns the long-poll time in milliseconds of the next call. */
  readonly getWaitMs?: () => number;
  /** Called with all records after each full list; without records if there is an `onPage`. */
  readonly onList: (records: readonly StoredRecord[], revision: number) => void;
  /** Called with the records of each page of a list, also of one that fails later. */
  readonly onPage?: (records: readonly StoredRecord[]) => void;
  /** Called with changes in the order of their revisions. */
  readonly onChanges: (changes: readonly RecordChange[], revision: number) => void;
}

/** Default long-poll time in milliseconds, and the longest one of a watch with a bound. */
const defaultWaitMs = 4_000;
/** Shortest long-poll time in milliseconds, so that the store is not called in a busy loop. */
const minWaitMs = 300;
/** Time in milliseconds in which a watch is sent again on a new connection and its changes are read. */
const repeatMs = 500;
/**
 * Long-poll time in milliseconds after a failed call. A call that a silent store has swallowed is not answered when the
 * store is back, and the changes since then are seen only after its timeout.
 */
const retryWaitMs = 300;
/** First delay in milliseconds of the exponential backoff while the store does not answer. */
const minRetryDelayMs = 100;
/** Longest delay in milliseconds of the backoff. */
const maxRetryDelayMs = 800;

/**
 * Returns the long-poll time in milliseconds of a watch that must deliver a change within `boundMs`, also when its connection
 * goes silent: then the call is given up and sent again before the bound is over.
 */
export function getBoundedWaitMs(boundMs: number): number {
  return Math.min(defaultWaitMs, Math.max(minWaitMs, boundMs - watchGraceMs - repeatMs));
}

/** Watches the keys with a prefix: lists them, then polls for changes; lists again after the store has compacted. */
export class RecordWatch {
  /** Send time, in milliseconds on the given clock, of the latest call whose reply brought this watch up to date. */
  confirmedAt = Number.NEGATIVE_INFINITY;
  private isStopped = false;
  private revision: number | undefined;
  private failures = 0;

  constructor(private readonly options: RecordWatchOptions) {}

  /** Watches until `stop` is called; with a revision, starts with the changes after it instead of a full list. */
  async run(revision?: number): Promise<void> {
    this.revision = revision;
    while (!this.isStopped) {
      const canContinue = this.revision === undefined ? await this.list() : await this.watch();
      if (canContinue) this.failures = 0;
      else await this.pause();
    }
  }

  /** Stops the watch; the result of a call in flight is ignored. */
  stop(): void {
    this.isStopped = true;
  }

  private async list(): Promise<boolean> {
    const {store, prefix, clock, onPage} = this.options;
    const sentAt = clock.now();
    const handlePage = (records: readonly StoredRecord[]) => {
      if (!this.isStopped) this.handle(() => onPage?.(records));
    };
    const result = await store.list(prefix, onPage && {onPage: handlePage});
    if (this.isStopped || result.kind !== 'ok') return this.checkResult(result);
    this.confirmedAt = sentAt;
    this.revision = result.revision;
    const records = result.records.filter(record => this.isWatched(record.key));
    this.handle(() => this.options.onList(records, result.revision));
    return true;
  }

  private async watch(): Promise<boolean> {
    const {store, prefix, clock, getWaitMs, log} = this.options;
    const longWaitMs = getWaitMs?.() ?? defaultWaitMs;
    const waitMs = this.failures > 0 ? Math.min(retryWaitMs, longWaitMs) : longWaitMs;
    const sentAt = clock.now();
    const result = await store.watch(prefix, this.revision ?? 0, waitMs);
    if (this.isStopped) return true;
    if (result.kind === 'compacted') {
      log.log('watch-history-gone', {prefix, revision: this.revision});
      this.revision = undefined;
      return true;
    }
    if (result.kind !== 'ok') return this.checkResult(result);
    this.confirmedAt = sentAt;
    this.revision = Math.max(this.revision ?? 0, result.revision);
    const changes = result.changes.filter(change => this.isWatched(getChangedKey(change)));
    if (changes.length > 0) this.handle(() => this.options.onChanges(changes, result.revision));
    return true;
  }

  private isWatched(key: string): boolean {
    const {prefix} = this.options;
    return prefix.endsWith('/') || key === prefix;
  }

  /** Calls a handler; an unexpected error in it must not end the watch. */
  private handle(handler: () => void): void {
    try {
      handler();
    } catch (error) {
      const {prefix, log} = this.options;
      log.warn('records-not-handled', {prefix, detail: String((error as Error).stack)});
    }
  }

  /** Returns whether the watch can continue without a pause; logs the first failure of a series. */
  private checkResult(result: {readonly kind: string; readonly detail?: string}): boolean {
    if (this.isStopped || result.kind === 'ok') return true;
    this.failures += 1;
    if (this.failures === 1) {
      const {prefix, log} = this.options;
      log.warn('watch-failed', {prefix, result: result.kind, detail: result.detail});
    }
    return false;
  }

  private async pause(): Promise<void> {
    const ms = Math.min(maxRetryDelayMs, minRetryDelayMs * 2 ** Math.min(8, this.failures - 1));
    await new Promise(resolve => setTimeout(resolve, ms));
  }
}

function getChangedKey(change: RecordChange): string {
  return change.kind === 'written' ? change.record.key : change.key;
}

import type {
  CommitResult,
  LeaseResult,
  ListOptions,
  ListResult,
  ReadResult,
  RecordCommit,
  RecordStore,
  WatchResult,
} from './record-store.js';
import type {StoreHealth} from './store-health.js';

/** Passes all calls on to a store and records in a `StoreHealth` whether they are answered. */
export class ObservedStore implements RecordStore {
  constructor(
    private readonly store: RecordStore,
    private readonly health: StoreHealth,
  ) {}

  /** @inheritdoc */
  read(key: string): Promise<ReadResult> {
    return this.observe(this.store.read(key));
  }

  /** @inheritdoc */
  list(prefix: string, options?: ListOptions): Promise<ListResult> {
    return this.observe(this.store.list(prefix, options));
  }

  /** @inheritdoc */
  async watch(prefix: string, after: number, waitMs: number): Promise<WatchResult> {
    // A watch without changes takes long on a healthy store, so only its result counts.
    const result = await this.store.watch(prefix, after, waitMs);
    if (isFailure(result)) this.health.recordFailure();
    else this.health.recordSuccess();
    return result;
  }

  /** @inheritdoc */
  commit(commit: RecordCommit): Promise<CommitResult> {
    return this.observe(this.store.commit(commit));
  }

  /** @inheritdoc */
  openLease(ttlMs: number): Promise<LeaseResult> {
    return this.observe(this.store.openLease(ttlMs));
  }

  /** @inheritdoc */
  renewLease(lease: string): Promise<LeaseResult> {
    return this.observe(this.store.renewLease(lease));
  }

  /** @inheritdoc */
  endLease(lease: string): Promise<LeaseResult> {
    return this.observe(this.store.endLease(lease));
  }

  private async observe<Result extends {readonly kind: string}>(
    promise: Promise<Result>,
  ): Promise<Result> {
    const call = this.health.begin();
    const result = await promise;
    this.health.end(call, !isFailure(result));
    return result;
  }
}

function isFailure({kind}: {readonly kind: string}): boolean {
  return kind === 'refused' || kind === 'unknown';
}

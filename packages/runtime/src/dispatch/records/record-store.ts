/** A value in the store. */
export interface StoredRecord {
  readonly key: string;
  /** Text as it was written. */
  readonly value: string;
  /** Revision of the newest change of this key. */
  readonly revision: number;
}

/** A change that a watch returns: a written record or the removal of a key. */
export type RecordChange =
  | {readonly kind: 'written'; readonly record: StoredRecord}
  | {readonly kind: 'removed'; readonly key: string; readonly revision: number};

/** A failed call. After `refused` it had no effect; after `unknown` it may have taken effect or may still do so. */
export type StoreFailure =
  | {readonly kind: 'refused'; readonly detail: string}
  | {readonly kind: 'unknown'; readonly detail: string};

/** An atomic change of several keys. */
export interface RecordCommit {
  /** Revisions that keys must have; 0 means that the key must be absent. */
  readonly conditions: ReadonlyArray<{readonly key: string; readonly revision: number}>;
  readonly writes: ReadonlyArray<{
    readonly key: string;
    readonly value: string;
    /** Lease whose end removes the key. */
    readonly lease?: string;
  }>;
  readonly removals: readonly string[];
}

/** Result of a commit. */
export type CommitResult =
  | {readonly kind: 'ok'; readonly revision: number}
  /** A condition does not hold; `current` has the current records of the conditions' keys, without absent keys. */
  | {readonly kind: 'conflict'; readonly current: readonly StoredRecord[]}
  | {readonly kind: 'no-lease'}
  | StoreFailure;

/** Options of a list. */
export interface ListOptions {
  /** Whether the result may be seconds old; the read is then cheaper. */
  readonly stale?: boolean;
  /**
   * Called with the records of each page as it arrives. The result then has no records, so that not all of them are in
   * memory at the same time.
   */
  readonly onPage?: (records: readonly StoredRecord[]) => void;
}

/** Result of a list: all records with a prefix, and the revision from which a watch can continue. */
export type ListResult =
  | {readonly kind: 'ok'; readonly records: readonly StoredRecord[]; readonly revision: number}
  | StoreFailure;

/** Result of a read. */
export type ReadResult =
  | {readonly kind: 'ok'; readonly record: StoredRecord | undefined; readonly revision: number}
  | StoreFailure;

/** Result of a watch; `compacted` means that the store no longer has all changes since the revision. */
export type WatchResult =
  | {readonly kind: 'ok'; readonly changes: readonly RecordChange[]; readonly revision: number}
  | {readonly kind: 'compacted'}
  | StoreFailure;

/** Result of a call on a lease. */
export type LeaseResult =
  | {readonly kind: 'ok'; readonly lease: string; readonly ttlMs: number}
  | {readonly kind: 'no-lease'}
  | StoreFailure;

/** Time in milliseconds, after the wait that was requested, at which a watch without an answer fails. */
export const watchGraceMs = 1_200;

/** The key-value store with the durable state. Calls have a time limit and do not throw: failures are results. */
export interface RecordStore {
  /** Reads a key. */
  read(key: string): Promise<ReadResult>;
  /** Reads all keys with a prefix. */
  list(prefix: string, options?: ListOptions): Promise<ListResult>;
  /**
   * Waits for changes after a revision to keys with a prefix, at most `waitMs` milliseconds; fails `watchGraceMs` after that
   * when there is no answer.
   */
  watch(prefix: string, after: number, waitMs: number): Promise<WatchResult>;
  /** Changes several keys atomically. */
  commit(commit: RecordCommit): Promise<CommitResult>;
  /** Opens a lease of `ttlMs` milliseconds. */
  openLease(ttlMs: number): Promise<LeaseResult>;
  /** Renews a lease. */
  renewLease(lease: string): Promise<LeaseResult>;
  /** Ends a lease and removes its keys. */
  endLease(lease: string): Promise<LeaseResult>;
}

/** A value in the store. */
export interface StoredRecord {
  readonly key: string;
  /** Text as it was written. */
  readonly value: string;
  /** Revision of the newest change of this key. */
  readonly revision: number;
}

/** A change that a watch tells: a record as it was written, or the end of a key. */
export type RecordChange =
  | {readonly kind: 'written'; readonly record: StoredRecord}
  | {readonly kind: 'removed'; readonly key: string; readonly revision: number};

/** A failed call: `refused` proves that nothing was done, after `unknown` it may have been done or be done later. */
export type StoreFailure =
  | {readonly kind: 'refused'; readonly detail: string}
  | {readonly kind: 'unknown'; readonly detail: string};

/** A change of several keys that takes effect as a whole or not at all. */
export interface RecordCommit {
  /** Revisions that keys must have; 0 means that the key must be absent. */
  readonly conditions: ReadonlyArray<{readonly key: string; readonly revision: number}>;
  readonly writes: ReadonlyArray<{
    readonly key: string;
    readonly value: string;
    /** Lease with which the key ends. */
    readonly lease?: string;
  }>;
  readonly removals: readonly string[];
}

/** Result of a commit. */
export type CommitResult =
  | {readonly kind: 'ok'; readonly revision: number}
  /** A condition does not hold; the records of the conditions as they are, absent ones left out. */
  | {readonly kind: 'conflict'; readonly current: readonly StoredRecord[]}
  | {readonly kind: 'no-lease'}
  | StoreFailure;

/** Result of a list: all records below a prefix, and the revision after which a watch continues. */
export type ListResult =
  | {readonly kind: 'ok'; readonly records: readonly StoredRecord[]; readonly revision: number}
  | StoreFailure;

/** Result of a read. */
export type ReadResult =
  | {readonly kind: 'ok'; readonly record: StoredRecord | undefined; readonly revision: number}
  | StoreFailure;

/** Result of a watch: `compacted` means that changes since the revision are no longer known. */
export type WatchResult =
  | {readonly kind: 'ok'; readonly changes: readonly RecordChange[]; readonly revision: number}
  | {readonly kind: 'compacted'}
  | StoreFailure;

/** Result of a call on a lease. */
export type LeaseResult =
  | {readonly kind: 'ok'; readonly lease: string; readonly ttlMs: number}
  | {readonly kind: 'no-lease'}
  | StoreFailure;

/** The key-value store that holds what must last. No call throws; each has a time limit. */
export interface RecordStore {
  /** Reads a key. */
  read(key: string): Promise<ReadResult>;
  /** Reads all keys with a prefix; with `stale`, the answer may be seconds old and costs less. */
  list(prefix: string, options?: {readonly stale?: boolean}): Promise<ListResult>;
  /** Waits for changes of keys with a prefix after a revision, at most `waitMs`. */
  watch(prefix: string, after: number, waitMs: number): Promise<WatchResult>;
  /** Changes several keys. */
  commit(commit: RecordCommit): Promise<CommitResult>;
  /** Opens a lease. */
  openLease(ttlMs: number): Promise<LeaseResult>;
  /** Renews a lease. */
  keepLease(lease: string): Promise<LeaseResult>;
  /** Ends a lease and removes its keys. */
  endLease(lease: string): Promise<LeaseResult>;
}

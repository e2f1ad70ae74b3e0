import type {
  CommitResult,
  LeaseResult,
  ListOptions,
  ListResult,
  ReadResult,
  RecordChange,
  RecordCommit,
  RecordStore,
  StoredRecord,
  StoreFailure,
  WatchResult,
} from '../../../src/dispatch/index.js';

/** How a call fails. Only with `lost` does a commit take effect; its reply is lost. */
export type StoreFault = 'refused' | 'unknown' | 'lost';

/** An in-memory store with injectable faults. */
export class MemoryStore implements RecordStore {
  readonly records = new Map<string, StoredRecord & {readonly lease?: string}>();
  revision = 1;
  /** Watches from before this revision return `compacted`. */
  historyFrom = 0;
  /** Faults of the next calls except those on leases, one for each call; undefined lets a call succeed. */
  faults: Array<StoreFault | undefined> = [];
  /** Number of reads of single keys. */
  reads = 0;
  /** Time in milliseconds that a commit takes. */
  commitDelayMs = 0;
  /** Called after a commit has failed because of a condition. */
  onConflict: () => void = () => {};
  private readonly history: RecordChange[] = [];
  private readonly waiting = new Set<() => void>();
  private readonly leases = new Set<string>();
  private nextLease = 1;

  /** Writes a key as another process would. */
  put(key: string, value: string, lease?: string): void {
    this.revision += 1;
    this.write(key, value, lease);
  }

  private write(key: string, value: string, lease?: string): void {
    const record = {key, value, revision: this.revision};
    this.records.set(key, {...record, ...(lease !== undefined && {lease})});
    this.recordChange({kind: 'written', record});
  }

  /** Compacts the history: watches from before the current revision return `compacted`. */
  compact(): void {
    this.historyFrom = this.revision;
  }

  async read(key: string): Promise<ReadResult> {
    this.reads += 1;
    const fault = this.faults.shift();
    if (fault) return fail(fault);
    return {kind: 'ok', record: this.records.get(key), revision: this.revision};
  }

  async list(prefix: string, {onPage}: ListOptions = {}): Promise<ListResult> {
    const fault = this.faults.shift();
    if (fault) return fail(fault);
    const records = [...this.records.values()].filter(record => record.key.startsWith(prefix));
    if (onPage === undefined) return {kind: 'ok', records, revision: this.revision};
    for (const record of records) onPage([record]);
    return {kind: 'ok', records: [], revision: this.revision};
  }

  async watch(prefix: string, after: number, waitMs: number): Promise<WatchResult> {
    const fault = this.faults.shift();
    if (fault) return fail(fault);
    if (after < this.historyFrom) return {kind: 'compacted'};
    if (this.getChanges(prefix, after).length === 0) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(done, waitMs);
        const waiting = this.waiting;
        function done() {
          clearTimeout(timer);
          waiting.delete(done);
          resolve();
        }
        this.waiting.add(done);
      });
    }
    return {kind: 'ok', changes: this.getChanges(prefix, after), revision: this.revision};
  }

  async commit(commit: RecordCommit): Promise<CommitResult> {
    if (this.commitDelayMs > 0) await new Promise(done => setTimeout(done, this.commitDelayMs));
    const fault = this.faults.shift();
    if (fault === 'refused' || fault === 'unknown') return fail(fault);
    const result = this.apply(commit);
    return fault === 'lost' ? fail('unknown') : result;
  }

  async openLease(ttlMs: number): Promise<LeaseResult> {
    const lease = String(this.nextLease++);
    this.leases.add(lease);
    return {kind: 'ok', lease, ttlMs};
  }

  async renewLease(lease: string): Promise<LeaseResult> {
    return this.leases.has(lease) ? {kind: 'ok', lease, ttlMs: 3_000} : {kind: 'no-lease'};
  }

  async endLease(lease: string): Promise<LeaseResult> {
    this.leases.delete(lease);
    this.revision += 1;
    for (const [key, record] of this.records) if (record.lease === lease) this.remove(key);
    return {kind: 'ok', lease, ttlMs: 0};
  }

  private apply(commit: RecordCommit): CommitResult {
    const fails = commit.conditions.some(
      ({key, revision}) => (this.records.get(key)?.revision ?? 0) !== revision,
    );
    if (fails) {
      const keys = commit.conditions.map(condition => condition.key);
      const current = keys.map(key => this.records.get(key)).filter(record => record !== undefined);
      this.onConflict();
      return {kind: 'conflict', current};
    }
    // All changes of a commit have the same revision.
    this.revision += 1;
    for (const {key, value, lease} of commit.writes) this.write(key, value, lease);
    for (const key of commit.removals) this.remove(key);
    return {kind: 'ok', revision: this.revision};
  }

  private remove(key: string): void {
    if (!this.records.delete(key)) return;
    this.recordChange({kind: 'removed', key, revision: this.revision});
  }

  private recordChange(change: RecordChange): void {
    this.history.push(change);
    for (const wake of [...this.waiting]) wake();
  }

  private getChanges(prefix: string, after: number): RecordChange[] {
    return this.history.filter(change => {
      const {key, revision} = change.kind === 'written' ? change.record : change;
      return key.startsWith(prefix) && revision > after;
    });
  }
}

function fail(fault: StoreFault): StoreFailure {
  return {kind: fault === 'refused' ? 'refused' : 'unknown', detail: fault};
}

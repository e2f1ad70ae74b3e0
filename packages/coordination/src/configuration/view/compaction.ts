import type {ConfigurationChange} from '../document.js';
import type {ViewContext} from './context.js';
import type {StoreAnswer} from './events.js';
import {
  getInlineCount,
  getSnapshotKey,
  inlineChangeLimit,
  maxRetainedBytes,
  maxRetainedChanges,
  type Head,
  type SnapshotReference,
} from './head.js';
import {getJsonBytes, splitSnapshot} from './snapshot.js';

/** Delay before a failed compaction is retried. */
const retryDelayMs = 5000;

/**
 * Thresholds of compaction. Every watcher receives the whole log at each change, so a short log saves traffic
 * between regions, but each compaction writes the whole snapshot. docs/decisions/configuration-log.md explains
 * the trade-off.
 */
const defaultCompactAtChanges = 16;
const defaultCompactAtBytes = 192 * 1024;

/** Operations of the view that compaction uses. */
export interface CompactionAccess {
  /** Applies a head that was read. Returns undefined when the value is malformed. */
  acceptHead(value: unknown, revision: number, at: number): Head | undefined;
  /** Applies a head that this process has written. */
  acceptOwnHead(head: Head, revision: number, at: number): void;
}

/** Compacts the log: replaces the changes of the head with a snapshot. */
export class Compaction {
  #isRunning = false;
  #retryAt = Number.NEGATIVE_INFINITY;
  #snapshotVersion = 0;
  #callbacks: Array<(at: number) => void> = [];
  /** Whether this process owns the first cell and so compacts the log. */
  isActive = false;

  constructor(
    private readonly context: ViewContext,
    private readonly access: CompactionAccess,
  ) {}

  /** Records the snapshot of a head, and starts a compaction if this process is responsible and the log is long. */
  handleHead(head: Head, at: number): void {
    this.#snapshotVersion = head.snapshot?.version ?? 0;
    this.compactIfNeeded(head.version, at);
  }

  /**
   * Starts a compaction if this process is responsible and the log is too long or too large at this version. A process
   * that receives changes from peers sees no head, so it estimates the length from the last known snapshot.
   */
  compactIfNeeded(version: number, at: number): void {
    const {compactAtChanges = defaultCompactAtChanges} = this.context.options;
    const count = version - this.#snapshotVersion;
    const isLong = count >= Math.min(compactAtChanges, inlineChangeLimit);
    if (isLong || (this.isActive && this.#isLarge())) this.#runIfDue(at);
  }

  /** Compacts now or joins a running compaction. Calls back when it has ended, whether or not it succeeded. */
  run(at: number, done: (at: number) => void): void {
    this.#callbacks.push(done);
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.context.readHead(at, (answer, answeredAt) => {
      if (answer.result !== 'ok') return this.#finish(false, answeredAt);
      const head = this.access.acceptHead(answer.value, answer.revision, answeredAt);
      if (!head || head.version !== this.context.log.version || getInlineCount(head) === 0) {
        return this.#finish(false, answeredAt);
      }
      this.#writeParts(head, answer.revision, answeredAt);
    });
  }

  #isLarge(): boolean {
    const {compactAtBytes = defaultCompactAtBytes} = this.context.options;
    const changes = this.context.log.getChangesAfter(this.#snapshotVersion) ?? [];
    return changes.length > 0 && getJsonBytes(changes) >= compactAtBytes;
  }

  #runIfDue(at: number): void {
    if (this.isActive && !this.#isRunning && this.#retryAt <= at) this.run(at, () => {});
  }

  #writeParts(head: Head, revision: number, at: number): void {
    const parts = splitSnapshot(this.context.log.configuration);
    const snapshot = {version: head.version, parts: parts.length};
    const writeNext = (index: number, nextAt: number) => {
      const part = parts[index];
      if (!part) return this.#swap(head, snapshot, revision, nextAt);
      const key = getSnapshotKey(head.version, index);
      this.context.writeSnapshot(key, part, 0, nextAt, (answer, answeredAt) => {
        // An existing part was written for the same version, so its content is the same.
        if (isPartStored(answer)) writeNext(index + 1, answeredAt);
        else this.#finish(false, answeredAt);
      });
    };
    writeNext(0, at);
  }

  #swap(head: Head, snapshot: SnapshotReference, revision: number, at: number): void {
    const next: Head = {
      version: head.version,
      snapshot,
      previousSnapshot: head.snapshot,
      changes: getRetainedChanges(head.changes),
    };
    this.context.swapHead(next, revision, at, (answer, answeredAt) => {
      if (answer.result === 'ok') {
        this.context.count('compacted');
        this.context.record(head.version, 'compacted');
        this.access.acceptOwnHead(next, answer.revision, answeredAt);
        this.#emptyParts(head.previousSnapshot, answeredAt);
      }
      this.#finish(answer.result === 'ok', answeredAt);
    });
  }

  /** Empties the parts of an unreferenced snapshot, since the store has no call that removes a key. */
  #emptyParts(snapshot: SnapshotReference | null, at: number): void {
    if (!snapshot) return;
    for (let part = 0; part < snapshot.parts; part++) {
      const key = getSnapshotKey(snapshot.version, part);
      this.context.readSnapshot(key, at, (answer, answeredAt) => {
        if (answer.result !== 'ok' || answer.revision === 0) return;
        this.context.writeSnapshot(key, null, answer.revision, answeredAt, () => {});
      });
    }
  }

  #finish(hasSucceeded: boolean, at: number): void {
    this.#isRunning = false;
    if (!hasSucceeded) {
      this.#retryAt = at + retryDelayMs;
      this.context.count('compaction-failed');
    }
    const waiting = this.#callbacks;
    this.#callbacks = [];
    for (const done of waiting) done(at);
  }
}

/**
 * Returns the latest changes to keep in the head. Their size is bounded, because a head that is still full
 * after a compaction could accept no further change.
 */
function getRetainedChanges(
  changes: readonly ConfigurationChange[],
): readonly ConfigurationChange[] {
  let bytes = 0;
  let first = changes.length;
  while (first > 0 && changes.length - first < maxRetainedChanges) {
    bytes += getJsonBytes(changes[first - 1]);
    if (bytes > maxRetainedBytes) break;
    first--;
  }
  return changes.slice(first);
}

function isPartStored(answer: StoreAnswer): boolean {
  return answer.result === 'ok' || answer.result === 'mismatch';
}

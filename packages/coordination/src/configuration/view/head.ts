import {isRecord} from '../../findings/object-reader.js';
import type {ConfigurationChange} from '../document.js';

/** Store key of the head. */
export const headKey = 'config/head';

/** Number of changes after the snapshot at which the log must be compacted. */
export const inlineChangeLimit = 100;

/** Size of the head value in bytes above which it must be compacted. The store accepts values up to 1 MB. */
export const inlineByteLimit = 512 * 1024;

/**
 * Largest number of changes kept in the head after compaction. A writer whose answer was lost finds its
 * change id among them, unless that many later changes were accepted in the meantime.
 */
export const maxRetainedChanges = 8;

/** Largest size in bytes of the changes kept in the head after compaction. Older ones are in the snapshot only. */
export const maxRetainedBytes = 32 * 1024;

/** Refers to a snapshot in the store. */
export interface SnapshotReference {
  readonly version: number;
  readonly parts: number;
}

/** Head of the change log: the value of the store key `config/head`. */
export interface Head {
  readonly version: number;
  readonly snapshot: SnapshotReference | null;
  /** The snapshot before the current one. The next compaction empties its parts. */
  readonly previousSnapshot: SnapshotReference | null;
  /** Consecutive changes up to `version`; the first may precede the snapshot. */
  readonly changes: readonly ConfigurationChange[];
}

/** The head before the first change. */
export const emptyHead: Head = {version: 0, snapshot: null, previousSnapshot: null, changes: []};

/** Returns the store key of one part of a snapshot. */
export function getSnapshotKey(version: number, part: number): string {
  return `config/snapshot/${version}/${part}`;
}

/** Returns the validated head, or undefined when the value is malformed. An absent value is the empty head. */
export function parseHead(value: unknown): Head | undefined {
  if (value === undefined || value === null) return emptyHead;
  if (!isRecord(value) || !isVersion(value.version) || !Array.isArray(value.changes)) {
    return undefined;
  }
  if (!isSnapshotReference(value.snapshot) || !isSnapshotReference(value.previousSnapshot))
    return undefined;
  const head = value as unknown as Head;
  let expected = head.version - head.changes.length + 1;
  for (const change of head.changes) {
    if (!isChange(change) || change.version !== expected) return undefined;
    expected++;
  }
  // Changes between the snapshot and the first change of the head must not be missing.
  const firstVersion = head.version - head.changes.length + 1;
  if (firstVersion > (head.snapshot?.version ?? 0) + 1) return undefined;
  return head;
}

/** Returns the number of changes after the snapshot of the head. */
export function getInlineCount(head: Head): number {
  return head.version - (head.snapshot?.version ?? 0);
}

/** Returns whether a value has the shape of an accepted change. */
export function isChange(value: unknown): value is ConfigurationChange {
  return (
    isRecord(value) &&
    isVersion(value.version) &&
    typeof value.changeId === 'string' &&
    typeof value.author === 'string' &&
    Array.isArray(value.operations)
  );
}

function isVersion(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

function isSnapshotReference(value: unknown): boolean {
  if (value === null) return true;
  return isRecord(value) && isVersion(value.version) && isVersion(value.parts);
}

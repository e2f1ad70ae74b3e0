import {isRecord} from '../../findings/object-reader.js';
import type {ConfigurationChange} from '../document.js';

/** Store key of the head. */
export const headKey = 'config/head';

/** Changes that may follow the snapshot before the log must be compacted. */
export const inlineChangeLimit = 100;

/** Size of the head value from which it must be compacted; the store takes values up to 1 MB. */
export const inlineByteLimit = 512 * 1024;

/**
 * Changes kept in the head after compaction. A writer that lost its answer finds its change id among
 * them, unless that many others were accepted in the meantime.
 */
export const maxRetainedChanges = 8;

/** Size of these changes. Larger ones are left to the snapshot alone. */
export const maxRetainedBytes = 32 * 1024;

/** Where a snapshot stands in the store. */
export interface SnapshotReference {
  readonly version: number;
  readonly parts: number;
}

/** Value of the store key `config/head`. */
export interface Head {
  readonly version: number;
  readonly snapshot: SnapshotReference | null;
  /** The snapshot before the present one; its parts are emptied by the next compaction. */
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

/** Returns the checked head, or undefined when the value is not a head. An absent value is the empty head. */
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
  const first = head.version - head.changes.length + 1;
  if (first > (head.snapshot?.version ?? 0) + 1) return undefined;
  return head;
}

/** Returns the changes of the head after its snapshot. */
export function getInlineCount(head: Head): number {
  return head.version - (head.snapshot?.version ?? 0);
}

/** Tells whether a value has the form of an accepted change. */
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

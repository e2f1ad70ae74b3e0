import {isRecord} from '../../findings/object-reader.js';
import type {Configuration, Team, Workload} from '../document.js';

/** Largest size of a snapshot part in the store. */
export const snapshotPartBytes = 512 * 1024;

/** One part of a snapshot: a subset of the sorted teams, workloads and drains of the configuration. */
export interface SnapshotPart {
  readonly version: number;
  readonly workloads: readonly Workload[];
  readonly teams: readonly Team[];
  readonly drains: readonly string[];
}

const encoder = new TextEncoder();

/** Returns the size in bytes of a value as JSON in UTF-8. */
export function getJsonBytes(value: unknown): number {
  return encoder.encode(JSON.stringify(value)).length;
}

/**
 * Splits a configuration into parts of at most `maxPartBytes` bytes. The contents are sorted, so that two
 * processes write identical parts for the same version.
 */
export function splitSnapshot(
  configuration: Configuration,
  maxPartBytes = snapshotPartBytes,
): SnapshotPart[] {
  const {version} = configuration;
  const emptyPartBytes = getJsonBytes({version, workloads: [], teams: [], drains: []});
  const parts: SnapshotPart[] = [];
  let part = {version, workloads: [] as Workload[], teams: [] as Team[], drains: [] as string[]};
  let partBytes = emptyPartBytes;
  const reserveSpace = (entry: unknown) => {
    // One byte for the comma between two elements.
    const bytes = getJsonBytes(entry) + 1;
    if (partBytes + bytes > maxPartBytes) {
      parts.push(part);
      part = {version, workloads: [], teams: [], drains: []};
      partBytes = emptyPartBytes;
    }
    partBytes += bytes;
  };
  for (const team of sortByName(configuration.teams)) {
    reserveSpace(team);
    part.teams.push(team);
  }
  for (const workload of sortByName(configuration.workloads)) {
    reserveSpace(workload);
    part.workloads.push(workload);
  }
  for (const host of [...configuration.drains].sort()) {
    reserveSpace(host);
    part.drains.push(host);
  }
  parts.push(part);
  return parts;
}

/** Joins parts to a configuration. Returns undefined when a part is missing, emptied or of another version. */
export function joinSnapshot(
  version: number,
  parts: readonly unknown[],
): Configuration | undefined {
  const workloads = new Map<string, Workload>();
  const teams = new Map<string, Team>();
  const drains = new Set<string>();
  for (const part of parts) {
    if (!isSnapshotPart(part) || part.version !== version) return undefined;
    for (const workload of part.workloads) workloads.set(workload.name, workload);
    for (const team of part.teams) teams.set(team.name, team);
    for (const host of part.drains) drains.add(host);
  }
  return {version, workloads, teams, drains};
}

function isSnapshotPart(value: unknown): value is SnapshotPart {
  return (
    isRecord(value) &&
    Array.isArray(value.workloads) &&
    Array.isArray(value.teams) &&
    Array.isArray(value.drains)
  );
}

function sortByName<Entry extends {readonly name: string}>(
  entries: ReadonlyMap<string, Entry>,
): Entry[] {
  return [...entries.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}

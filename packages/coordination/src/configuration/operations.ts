import type {
  Configuration,
  ConfigurationChange,
  ConfigurationOperation,
  Team,
  Workload,
} from './document.js';

/** The configuration before the first change. */
export const emptyConfiguration: Configuration = {
  version: 0,
  workloads: new Map(),
  teams: new Map(),
  drains: new Set(),
};

/** Thrown when a change is not the next version after the configuration that it was applied to. */
export class VersionGapError extends Error {
  constructor(
    readonly version: number,
    readonly changeVersion: number,
  ) {
    super(`change ${changeVersion} does not follow configuration version ${version}`);
    this.name = 'VersionGapError';
  }
}

/** Returns a copy of the configuration with the operations applied, at the given version. */
export function applyOperations(
  configuration: Configuration,
  operations: readonly ConfigurationOperation[],
  version: number,
): Configuration {
  const workloads = new Map(configuration.workloads);
  const teams = new Map(configuration.teams);
  const drains = new Set(configuration.drains);
  for (const operation of operations) {
    switch (operation.kind) {
      case 'put-workload':
        workloads.set(operation.workload.name, operation.workload);
        break;
      case 'remove-workload':
        workloads.delete(operation.name);
        break;
      case 'put-team':
        teams.set(operation.team.name, operation.team);
        break;
      case 'remove-team':
        teams.delete(operation.name);
        break;
      case 'drain-host':
        drains.add(operation.host);
        break;
      case 'undrain-host':
        drains.delete(operation.host);
        break;
    }
  }
  return {version, workloads, teams, drains};
}

/** Applies one accepted change. Throws `VersionGapError` if it is not the next version. */
export function applyChange(
  configuration: Configuration,
  change: ConfigurationChange,
): Configuration {
  if (change.version !== configuration.version + 1) {
    throw new VersionGapError(configuration.version, change.version);
  }
  return applyOperations(configuration, change.operations, change.version);
}

/**
 * Applies consecutive changes, copying the configuration only once. Throws `VersionGapError` if a version is
 * missing.
 */
export function applyChanges(
  configuration: Configuration,
  changes: readonly ConfigurationChange[],
): Configuration {
  let version = configuration.version;
  for (const change of changes) {
    if (change.version !== version + 1) throw new VersionGapError(version, change.version);
    version = change.version;
  }
  const operations = changes.flatMap(change => change.operations);
  return applyOperations(configuration, operations, version);
}

/** Returns canonical JSON: fields are sorted by name, so that equal values give equal texts. */
export function renderCanonical(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(renderCanonical).join(',')}]`;
  if (typeof value === 'object' && value !== null) {
    const fields = Object.entries(value)
      .filter(([, field]) => field !== undefined)
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([name, field]) => `${JSON.stringify(name)}:${renderCanonical(field)}`);
    return `{${fields.join(',')}}`;
  }
  return JSON.stringify(value) ?? 'null';
}

function isEqual(a: Workload | Team | undefined, b: Workload | Team): boolean {
  return a !== undefined && (a === b || renderCanonical(a) === renderCanonical(b));
}

/** Returns the operations that turn one configuration into another, sorted by kind and name. */
export function getDifference(from: Configuration, to: Configuration): ConfigurationOperation[] {
  const operations: ConfigurationOperation[] = [];
  for (const name of [...to.teams.keys()].sort()) {
    const team = to.teams.get(name) as Team;
    if (!isEqual(from.teams.get(name), team)) operations.push({kind: 'put-team', team});
  }
  for (const name of [...to.workloads.keys()].sort()) {
    const workload = to.workloads.get(name) as Workload;
    if (!isEqual(from.workloads.get(name), workload)) {
      operations.push({kind: 'put-workload', workload});
    }
  }
  for (const name of [...from.workloads.keys()].sort()) {
    if (!to.workloads.has(name)) operations.push({kind: 'remove-workload', name});
  }
  for (const name of [...from.teams.keys()].sort()) {
    if (!to.teams.has(name)) operations.push({kind: 'remove-team', name});
  }
  for (const host of [...to.drains].sort()) {
    if (!from.drains.has(host)) operations.push({kind: 'drain-host', host});
  }
  for (const host of [...from.drains].sort()) {
    if (!to.drains.has(host)) operations.push({kind: 'undrain-host', host});
  }
  return operations;
}

import type {Resources, Urgency, WorkloadKind} from '../messages/identity.js';

/** Guaranteed minimum that the operators grant to a workload. */
export interface CapacityGrant {
  /** Concurrent exchanges that its requests may always use, over all hosts. */
  readonly slots: number;
  /** Processor time in thousandths of a core that its tasks may always use. */
  readonly processors: number;
}

/** Part of the tasks of a workload that one cell runs. */
export interface CellShare {
  readonly cell: string;
  readonly tasks: number;
}

/** A service, a batch job or a standing watch. */
export interface Workload {
  readonly kind: WorkloadKind;
  readonly name: string;
  readonly team: string;
  readonly urgency: Urgency;
  readonly grant: CapacityGrant;
  /** Declared need of each task. */
  readonly resources: Resources;
  /** Replicas of a service or watch, items of a batch job. */
  readonly tasks: number;
  /** Cells that run the tasks; the shares add up to `tasks`. Absent when the main cell runs all of them. */
  readonly cells?: readonly CellShare[];
  /** Declared run time of one item in seconds; only for batch jobs. */
  readonly runTimeSeconds?: number;
  /** Time by which a batch job must be finished, milliseconds since the Unix epoch. */
  readonly dateMs?: number;
  /** Time between checkpoints in seconds; absent when the tasks cannot checkpoint. */
  readonly checkpointSeconds?: number;
  /** HTTP methods that the service declares idempotent in place of the standard ones. */
  readonly idempotentMethods?: readonly string[];
}

/** Share of the fleet that a team may use. */
export interface Team {
  readonly name: string;
  readonly quota: Resources;
  readonly weight: number;
}

/** The whole configuration at one version. */
export interface Configuration {
  readonly version: number;
  readonly workloads: ReadonlyMap<string, Workload>;
  readonly teams: ReadonlyMap<string, Team>;
  /** Names of hosts that get no new work. */
  readonly drains: ReadonlySet<string>;
}

/** One step of a change. */
export type ConfigurationOperation =
  | {readonly kind: 'put-workload'; readonly workload: Workload}
  | {readonly kind: 'remove-workload'; readonly name: string}
  | {readonly kind: 'put-team'; readonly team: Team}
  | {readonly kind: 'remove-team'; readonly name: string}
  | {readonly kind: 'drain-host'; readonly host: string}
  | {readonly kind: 'undrain-host'; readonly host: string};

/** An accepted change; its version is one above its predecessor. */
export interface ConfigurationChange {
  readonly version: number;
  /** Unique id of the change, chosen with the plan; finding it in the log proves acceptance. */
  readonly changeId: string;
  readonly author: string;
  readonly operations: readonly ConfigurationOperation[];
}

import type {Resources, Urgency, WorkloadKind} from '../messages/identity.js';

/** Minimum capacity that the operators guarantee to a workload. */
export interface CapacityGrant {
  /** Concurrent requests that it may always have in progress, over all hosts. */
  readonly slots: number;
  /** Processor time in thousandths of a core (millicores) that its tasks may always use. */
  readonly processors: number;
}

/** Number of tasks of a workload that one cell runs. */
export interface CellShare {
  readonly cell: string;
  readonly tasks: number;
}

/** A service, a batch job or a watch. */
export interface Workload {
  readonly kind: WorkloadKind;
  readonly name: string;
  readonly team: string;
  readonly urgency: Urgency;
  readonly grant: CapacityGrant;
  /** Declared resource request of each task. */
  readonly resources: Resources;
  /** Number of replicas of a service or watch, or of items of a batch job. */
  readonly tasks: number;
  /** Cells that run the tasks; the shares add up to `tasks`. Absent when the main cell runs all of them. */
  readonly cells?: readonly CellShare[];
  /** Declared run time of one item in seconds; only for batch jobs. */
  readonly runTimeSeconds?: number;
  /** Deadline of a batch job in milliseconds since the Unix epoch. */
  readonly dateMs?: number;
  /** Time between checkpoints in seconds; absent when the tasks cannot checkpoint. */
  readonly checkpointSeconds?: number;
  /** HTTP methods that the service declares idempotent, instead of the standard ones. */
  readonly idempotentMethods?: readonly string[];
}

/** A team with its quota and its weight in the sharing of idle capacity. */
export interface Team {
  readonly name: string;
  readonly quota: Resources;
  readonly weight: number;
}

/** The complete configuration at one version. */
export interface Configuration {
  readonly version: number;
  readonly workloads: ReadonlyMap<string, Workload>;
  readonly teams: ReadonlyMap<string, Team>;
  /** Names of hosts that are being drained and get no new work. */
  readonly drains: ReadonlySet<string>;
}

/** One operation of a change. */
export type ConfigurationOperation =
  | {readonly kind: 'put-workload'; readonly workload: Workload}
  | {readonly kind: 'remove-workload'; readonly name: string}
  | {readonly kind: 'put-team'; readonly team: Team}
  | {readonly kind: 'remove-team'; readonly name: string}
  | {readonly kind: 'drain-host'; readonly host: string}
  | {readonly kind: 'undrain-host'; readonly host: string};

/** An accepted change. Its version is the version of the previous change plus one. */
export interface ConfigurationChange {
  readonly version: number;
  /** Unique id, chosen when the plan is created. Its presence in the log proves that the change was accepted. */
  readonly changeId: string;
  readonly author: string;
  readonly operations: readonly ConfigurationOperation[];
}

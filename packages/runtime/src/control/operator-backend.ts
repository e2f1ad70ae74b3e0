import type {
  Configuration,
  ConfigurationChange,
  ConfigurationEffect,
  ConfirmedPlan,
  PlanEffect,
  TimelineEvent,
  TimelineFilter,
  WorkloadStatus,
} from '@chervilbeam/coordination';

/** Outcome of a confirmation, as reported by the configuration view. */
export type ConfirmationAnswer = Omit<
  Extract<ConfigurationEffect, {kind: 'confirmed'}>,
  'kind' | 'request'
>;

/** A process as shown by `chervilbeam status`. */
export interface ProcessStatus {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  readonly dataCentre: string;
  readonly region: string;
  /** Version of the configuration in force there, as last reported. */
  readonly version: number;
  /** Origin of its control port, if known. */
  readonly control?: string;
}

/** Status of the system as known to one entry. */
export interface OperatorStatus {
  readonly deployment: string;
  /** Version in force at the answering entry. */
  readonly version: number;
  /** The answering entry and the processes connected to it. */
  readonly processes: readonly ProcessStatus[];
  /** Progress of the workloads in the cells that the answering entry owns. */
  readonly workloads: readonly WorkloadStatus[];
  /** Findings about workloads, for example jobs that can never run. */
  readonly findings: ReadonlyArray<{readonly workload: string; readonly reason: string}>;
}

/** State and operations of an entry that the operator API exposes. */
export interface OperatorBackend {
  /** Number that is unique to this incarnation of the process; it prefixes the ids of plans. */
  readonly incarnation: number;
  /** Returns the configuration in force at this process. */
  getConfiguration(): Configuration;
  /** Whether the configuration is known to this process. */
  isConfigurationKnown(): boolean;
  /** Returns the changes after a version, or undefined when they are no longer retained. */
  getChangesAfter(version: number): readonly ConfigurationChange[] | undefined;
  /** Predicts the effects of a configuration; undefined unless it uses only the first cell that this process owns. */
  predict(next: Configuration): readonly PlanEffect[] | undefined;
  /** Appends a plan to the configuration log. */
  confirm(plan: ConfirmedPlan): Promise<ConfirmationAnswer>;
  /** Declares a host lost; returns false when this process schedules no cell. */
  declareLoss(host: string): boolean;
  /** Returns the status of the system as known to this process. */
  getStatus(): OperatorStatus;
  /** Returns the buffered timeline events of this process that match the filter, oldest first. */
  getTimeline(filter: TimelineFilter): readonly TimelineEvent[];
}

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

/** Outcome of a confirmation as the configuration view tells it. */
export type ConfirmationAnswer = Omit<
  Extract<ConfigurationEffect, {kind: 'confirmed'}>,
  'kind' | 'request'
>;

/** A process as `chervilbeam status` shows it. */
export interface ProcessStatus {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  readonly dataCentre: string;
  readonly region: string;
  /** Version of the configuration in force there, as last heard. */
  readonly version: number;
  /** Origin of its control port, if known. */
  readonly control?: string;
}

/** What an operator is told of the system by one entry. */
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

/** What the operators' HTTP needs of the process that serves it. */
export interface OperatorBackend {
  /** Unique name of this process and life; it begins the ids of plans. */
  readonly incarnation: number;
  getConfiguration(): Configuration;
  /** Whether the configuration is known to this process. */
  isConfigurationKnown(): boolean;
  /** Returns the changes after a version, or undefined when they are no longer kept. */
  getChangesAfter(version: number): readonly ConfigurationChange[] | undefined;
  /** Predicts the effects of a configuration; undefined when this process schedules no cell. */
  predict(next: Configuration): readonly PlanEffect[] | undefined;
  /** Appends a plan to the log of changes. */
  confirm(plan: ConfirmedPlan): Promise<ConfirmationAnswer>;
  /** Declares a host lost; returns false when this process does not schedule it. */
  declareLoss(host: string): boolean;
  getStatus(): OperatorStatus;
  getTimeline(filter: TimelineFilter): readonly TimelineEvent[];
}

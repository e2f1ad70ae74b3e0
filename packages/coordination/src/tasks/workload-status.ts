import type {WorkloadKind} from '../messages/identity.js';
import type {CellScheduler} from './cell-scheduler.js';

/** Progress of one workload, or of the part of it that one cell runs. */
export interface WorkloadStatus {
  readonly name: string;
  readonly kind: WorkloadKind;
  readonly team: string;
  readonly tasks: number;
  /** Attempts of the workload's tasks, including those that are starting, stopping, settling or lost. */
  readonly running: number;
  /** Tasks that are neither finished nor running. */
  readonly waiting: number;
  /** Finished items of a batch job. */
  readonly finished: number;
}

/** Returns the progress of the workloads of a cell, sorted by name; empty when another entry owns it. */
export function getWorkloadStatuses(scheduler: CellScheduler): WorkloadStatus[] {
  return [...scheduler.getState().jobs.values()]
    .map(job => ({
      name: job.name,
      kind: job.workload.kind,
      team: job.workload.team,
      tasks: job.workload.tasks,
      running: job.runs.size,
      waiting: job.waiting,
      finished: job.finished,
    }))
    .sort((a, b) => a.name.localeCompare(b.name));
}

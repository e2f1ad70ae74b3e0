import type {TaskHold} from '../task.js';
import type {WorkerClosure, WorkerRefusal} from '../placement/worker-refusal.js';

/** Why nothing of a submission runs although its turn has come. */
export type WaitReason =
  /** The owner has no memory for it yet. */
  | 'not-loaded'
  | Exclude<TaskHold, 'finished' | 'has-run'>
  /** Its worker has not answered the start command yet. */
  | 'run-starting'
  /** A command to the task's worker had no answer in time. */
  | 'run-unresolved'
  | 'run-stopping'
  /** Not all tasks of a gang may be started. */
  | 'gang-incomplete'
  /** A step that may crash workers starts one task at a time. */
  | 'other-task-on-trial'
  /** No worker of the service is known. */
  | 'no-worker'
  /** None of them gets any tasks. */
  | 'no-open-worker'
  | 'no-ticket'
  | 'isolation'
  | 'no-room'
  | 'run-limit'
  | 'start-budget'
  /** A worker would take the task, but no placement round has come to it. */
  | 'awaiting-round';

/** Why a task is not started, and what decided that. */
export interface WaitExplanation {
  readonly reason: WaitReason;
  readonly task: string;
  /** Unfinished tasks of its step. */
  readonly tasks: number;
  /** Processors that it needs. */
  readonly cores: number;
  /** Time in milliseconds until it may be started, for a delayed one. */
  readonly delayMs?: number;
  /** Tasks of its step that may not be started, by reason. */
  readonly holds?: ReadonlyMap<TaskHold, number>;
  /** Number of workers of the service. */
  readonly workers?: number;
  /** Workers that would not take it, by reason. */
  readonly refusals?: ReadonlyMap<WorkerClosure | WorkerRefusal, number>;
}

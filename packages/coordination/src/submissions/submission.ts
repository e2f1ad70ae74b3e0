import type {Resources} from '../messages/identity.js';

/** One step of a submission: a number of equal tasks and the conditions under which they run. */
export interface Step {
  /** Number of tasks. */
  readonly count: number;
  /** Need of each task; `processors` may be a fraction. */
  readonly need: Resources;
  /** The submitter's rough estimate of a task's run time in milliseconds; 0 when unknown. */
  readonly estimatedMs: number;
  /** Earlier steps whose tasks must all be finished first. */
  readonly after: readonly number[];
  /** The tasks save their progress and can resume from it. */
  readonly checkpoints: boolean;
  /** The tasks only work together, with the same run number. */
  readonly gang: boolean;
  /** The tasks slow each other down when they are spread over racks. */
  readonly sameRack: boolean;
  /** Label that the worker must have. */
  readonly label?: string;
  /** Rack that holds the data; tasks on other racks take longer. */
  readonly rack?: string;
  /** Largest number of tasks of one occurrence on one worker. */
  readonly spreadLimit?: number;
  /** Copies of a task may run in parallel; the first to finish counts. */
  readonly speculative: boolean;
  /** The tasks serve until the submission is cancelled. */
  readonly lasting: boolean;
  /** What the tasks run; tasks of one image behave alike. */
  readonly image?: string;
  /** Tail latency in milliseconds below which a serving task must stay. */
  readonly tailTargetMs?: number;
  /** The tasks use processors that other tasks leave unused, and reserve none. */
  readonly fills: boolean;
  /** Number of serving tasks that may be unavailable through the scheduler's own actions. */
  readonly maxUnavailable?: number;
}

/** A piece of work that a caller has handed in under an id of its own. */
export interface Submission {
  /** Caller's id, 16 hexadecimal digits. */
  readonly id: string;
  /** Key of the queue: host and path prefix. */
  readonly queue: string;
  /** Service whose workers run the tasks, as configured when the submission was accepted. */
  readonly service: string;
  /** What the workers are told to run. */
  readonly spec: string;
  readonly steps: readonly Step[];
  /** Number of occurrences; 0 for a submission that runs once without a date. */
  readonly repetitions: number;
  /** Unix time in milliseconds at which the first occurrence is due. */
  readonly startAtMs: number;
  /** Time in milliseconds between two occurrences. */
  readonly intervalMs: number;
  /** Unix time in milliseconds at which an entry accepted the submission. */
  readonly acceptedAtMs: number;
}

/** State of a submission as callers see it. */
export type SubmissionStatus = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Terms of a queue in the operators' configuration. */
export interface Queue {
  /** Host and path prefix of the callers' requests. */
  readonly key: string;
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  /** Service whose workers run the tasks. */
  readonly service: string;
  /** Urgency; 0 goes first. */
  readonly priority: number;
  /** Failed runs of a task after which its submission has failed. */
  readonly maxAttempts: number;
  /** Multiple of the longest chain of work within which a submission should be finished. */
  readonly stretchFactor: number;
  /** Time in milliseconds that is added to the objective. */
  readonly targetLatencyMs: number;
  /** Longest time in milliseconds that a caller's request may take. */
  readonly timeoutMs: number;
  /** Set when an outside service names the workers that may run a step. */
  readonly advised: boolean;
}

/** A service: the workers of one kind. */
export interface WorkerService {
  readonly name: string;
  /** Whether the workers themselves reject what does not fit. */
  readonly enforcesCapacity: boolean;
  /** Whether its hosts are powered off until they are moved. */
  readonly standby: boolean;
}

/** The part of the operators' configuration that submissions depend on. */
export interface QueueConfiguration {
  readonly version: number;
  readonly queues: ReadonlyMap<string, Queue>;
  readonly services: ReadonlyMap<string, WorkerService>;
  /** Largest request body in bytes. */
  readonly maxBodyBytes: number;
  /** Largest request header in bytes. */
  readonly maxHeaderBytes: number;
  /** Time in milliseconds within which a request header must have arrived. */
  readonly headerTimeoutMs: number;
  /** Time in milliseconds after which an idle connection may be closed. */
  readonly idleTimeoutMs: number;
}

/** Returns the number of occurrences of a submission, at least one. */
export function getOccurrences(submission: Submission): number {
  return Math.max(1, submission.repetitions);
}

/** Returns the name of a task towards the workers. */
export function getTaskName(id: string, occurrence: number, step: number, index: number): string {
  return `${id}.${occurrence}.${step}.${index}`;
}

/** Returns the id of the submission to which a task name belongs. */
export function getSubmissionId(taskName: string): string {
  const end = taskName.indexOf('.');
  return end < 0 ? taskName : taskName.slice(0, end);
}

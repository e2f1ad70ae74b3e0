import type {Resources} from '../messages/identity.js';

/** One step of a submission: a number of equal tasks and the conditions under which they run. */
export interface Step {
  /** Number of tasks. */
  readonly count: number;
  /** Resources that each task needs; `processors` may be fractional. */
  readonly need: Resources;
  /** The submitter's rough estimate of a task's run time in milliseconds; 0 when unknown. */
  readonly estimatedMs: number;
  /** Indices of earlier steps whose tasks must all be finished first. */
  readonly after: readonly number[];
  /** The tasks save their progress and can resume from it. */
  readonly checkpoints: boolean;
  /** Gang scheduling: all tasks start together, with the same run number. */
  readonly gang: boolean;
  /** The tasks run slower when they are spread over several racks. */
  readonly sameRack: boolean;
  /** Label that the worker must have. */
  readonly label?: string;
  /** Rack that holds the tasks' data; tasks on other racks run slower. */
  readonly rack?: string;
  /** Maximum number of the step's tasks, in one occurrence, on one worker. */
  readonly spreadLimit?: number;
  /** Copies of a task may run in parallel; the first to finish counts. */
  readonly speculative: boolean;
  /** Serving tasks: they run until the submission is cancelled. */
  readonly lasting: boolean;
  /** Name of the software that the tasks run; tasks of the same image behave alike. */
  readonly image?: string;
  /** Target of a serving task: upper bound of its tail latency in milliseconds. */
  readonly tailTargetMs?: number;
  /** Filling tasks: best-effort tasks that reserve no processors and use those that other tasks leave idle. */
  readonly fills: boolean;
  /** Disruption budget: maximum number of serving tasks that the scheduler may make unavailable itself. */
  readonly maxUnavailable?: number;
}

/** Work that a caller has submitted under an id of its own choice. */
export interface Submission {
  /** Caller's id, 16 hexadecimal digits. */
  readonly id: string;
  /** Key of the queue: host and path prefix. */
  readonly queue: string;
  /** Service whose workers run the tasks, as configured when the submission was accepted. */
  readonly service: string;
  /** Description of the work, passed to the workers unchanged. */
  readonly spec: string;
  readonly steps: readonly Step[];
  /** Number of scheduled occurrences; 0 for a submission that runs once, as soon as possible. */
  readonly repetitions: number;
  /** Unix time in milliseconds at which the first occurrence is due. */
  readonly startAtMs: number;
  /** Time in milliseconds between two occurrences. */
  readonly intervalMs: number;
  /** Unix time in milliseconds at which the submission was accepted. */
  readonly acceptedAtMs: number;
  /**
   * Settings of the queue when the submission was accepted: the operators may remove the queue, and the next owner then
   * finds them nowhere else. Absent from finished submissions and from records of older versions.
   */
  readonly policy?: QueuePolicy;
}

/** State of a submission as callers see it. */
export type SubmissionStatus = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Settings of a queue by which its submissions are processed. */
export interface QueuePolicy {
  /** Host and path prefix of the callers' requests. */
  readonly key: string;
  readonly name: string;
  /** Service whose workers run the tasks. */
  readonly service: string;
  /** Urgency; 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs of one task after which the submission fails. */
  readonly maxAttempts: number;
  /** Objective for finishing a submission, as a multiple of its critical path. */
  readonly stretchFactor: number;
  /** Time in milliseconds that is added to that multiple. */
  readonly targetLatencyMs: number;
  /** Present when an external advisor decides which workers may run a step. */
  readonly advice?: QueueAdvice;
}

/** Settings of a queue in the operators' configuration. */
export interface Queue extends QueuePolicy {
  readonly host: string;
  readonly prefix: string;
  /** Timeout in milliseconds of a caller's request. */
  readonly timeoutMs: number;
}

/** Returns the settings of a queue that its submissions keep. */
export function getQueuePolicy(queue: QueuePolicy): QueuePolicy {
  const {key, name, service, priority, maxAttempts, stretchFactor, targetLatencyMs, advice} = queue;
  return {
    key,
    name,
    service,
    priority,
    maxAttempts,
    stretchFactor,
    targetLatencyMs,
    ...(advice && {advice}),
  };
}

/** Whether two queues process their submissions in the same way. */
export function isSamePolicy(a: QueuePolicy, b: QueuePolicy): boolean {
  return JSON.stringify(getQueuePolicy(a)) === JSON.stringify(getQueuePolicy(b));
}

/** How long the advisor of a queue takes to answer. */
export interface QueueAdvice {
  /** Time in milliseconds for one request. */
  readonly decisionMs: number;
  /** Additional time in milliseconds for each worker that the request names. */
  readonly perWorkerMs: number;
}

/** Settings of a service, which is a pool of workers of one kind. */
export interface WorkerService {
  readonly name: string;
  /** Whether the workers themselves reject tasks that do not fit. */
  readonly enforcesCapacity: boolean;
  /** Whether its hosts stay powered off until they are moved. */
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
  /** Timeout in milliseconds for receiving a complete request header. */
  readonly headerTimeoutMs: number;
  /** Time in milliseconds after which an idle connection may be closed. */
  readonly idleTimeoutMs: number;
}

/** Returns the number of occurrences of a submission, at least one. */
export function getOccurrenceCount(submission: Pick<Submission, 'repetitions'>): number {
  return Math.max(1, submission.repetitions);
}

/** Returns the name that identifies a task to the workers. */
export function getTaskName(id: string, occurrence: number, step: number, index: number): string {
  return `${id}.${occurrence}.${step}.${index}`;
}

/** Returns the id of the submission to which a task name belongs. */
export function getSubmissionId(taskName: string): string {
  const end = taskName.indexOf('.');
  return end < 0 ? taskName : taskName.slice(0, end);
}

import {getSubmissionBytes, type Submission, type SubmissionStatus} from '../submissions/index.js';

/** Time in milliseconds after which a read of a submission counts as lost. */
const readTimeoutMs = 10_000;

/** What an owner keeps of an accepted submission that it has not loaded. */
export interface DeferredSubmission {
  /** The submission without spec and steps. */
  readonly submission: Submission;
  /** Memory in bytes that the owner needs to load it. */
  readonly bytes: number;
  /** Whether it has progress, so that a task has been started. */
  readonly hasStarted?: boolean;
  /** Whether a request to cancel it has been stored. */
  readonly cancelled?: boolean;
}

/** Returns a submission without what only its tasks need. */
export function toIdentity(submission: Submission): Submission {
  const {id, queue, service, repetitions, startAtMs, intervalMs, acceptedAtMs} = submission;
  const identity = {id, queue, service, acceptedAtMs};
  return {...identity, repetitions, startAtMs, intervalMs, spec: '', steps: []};
}

/** Returns what is kept of a stored submission that is not loaded. */
export function toDeferred(submission: Submission): DeferredSubmission {
  return {submission: toIdentity(submission), bytes: getSubmissionBytes(submission)};
}

/**
 * Accepted submissions that the owner leaves in the store, because all of them together would exceed its memory. They are
 * loaded one by one: first those whose tasks workers report, then the smallest that fits.
 */
export class DeferredSubmissions {
  private readonly byId = new Map<string, DeferredSubmission>();
  private readonly wanted = new Set<string>();
  private reading: {readonly id: string; readonly sentAt: number} | undefined;

  /** Number of submissions. */
  get size(): number {
    return this.byId.size;
  }

  /** Yields all of them. */
  values(): Iterable<DeferredSubmission> {
    return this.byId.values();
  }

  /** Adds a submission. */
  add(deferred: DeferredSubmission): void {
    this.byId.set(deferred.submission.id, deferred);
  }

  /** Whether a submission is deferred. */
  has(id: string): boolean {
    return this.byId.has(id);
  }

  /** Returns a submission, or undefined when it is not deferred. */
  get(id: string): DeferredSubmission | undefined {
    return this.byId.get(id);
  }

  /** Returns the state that callers see, or undefined when the submission is not deferred. */
  getStatus(id: string): SubmissionStatus | undefined {
    const deferred = this.byId.get(id);
    return deferred && (deferred.hasStarted ? 'running' : 'queued');
  }

  /** Removes a submission; returns whether it was deferred. */
  delete(id: string): boolean {
    this.wanted.delete(id);
    if (this.reading?.id === id) this.reading = undefined;
    return this.byId.delete(id);
  }

  /** Removes all submissions. */
  clear(): void {
    this.byId.clear();
    this.wanted.clear();
    this.reading = undefined;
  }

  /** Marks a submission to be loaded regardless of its size, because a worker reports one of its tasks. */
  want(id: string): void {
    if (this.byId.has(id)) this.wanted.add(id);
  }

  /** Returns the submission to be read next, which then counts as being read; undefined when none fits in `freeBytes`. */
  takeNext(freeBytes: number, at: number): string | undefined {
    if (this.reading !== undefined && at - this.reading.sentAt < readTimeoutMs) return undefined;
    const [wanted] = this.wanted;
    const id = wanted ?? this.findSmallest(freeBytes);
    this.reading = id === undefined ? undefined : {id, sentAt: at};
    return id;
  }

  private findSmallest(freeBytes: number): string | undefined {
    let smallest: DeferredSubmission | undefined;
    for (const deferred of this.byId.values()) {
      if (deferred.bytes < (smallest?.bytes ?? Number.POSITIVE_INFINITY)) smallest = deferred;
    }
    return smallest !== undefined && smallest.bytes <= freeBytes
      ? smallest.submission.id
      : undefined;
  }
}

import {getSubmissionBytes, type Submission} from '../submissions/index.js';
import {type DeferredSubmission, toDeferred} from './deferred-submissions.js';

interface LoadedSubmission {
  readonly submission: Submission;
  /** Memory in bytes that it needs. */
  readonly bytes: number;
}

/** Collects the submissions that a new owner reads, within a limit of memory: beyond it, the largest are deferred. */
export class SubmissionLoad {
  /** Submissions to be processed from the start, by id. */
  private readonly loaded = new Map<string, LoadedSubmission>();
  private readonly deferredById = new Map<string, DeferredSubmission>();
  private bytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Submissions to be processed from the start. */
  get submissions(): readonly Submission[] {
    return [...this.loaded.values()].map(({submission}) => submission);
  }

  /** Submissions to be loaded later. */
  get deferred(): readonly DeferredSubmission[] {
    return [...this.deferredById.values()];
  }

  /** Adds a submission, or replaces the one with the same id. */
  add(submission: Submission): void {
    this.remove(submission.id);
    const bytes = getSubmissionBytes(submission);
    this.loaded.set(submission.id, {submission, bytes});
    this.bytes += bytes;
    while (this.bytes > this.maxBytes && this.loaded.size > 1) this.deferLargest();
  }

  /** Removes a submission; an unknown id is ignored. */
  remove(id: string): void {
    this.bytes -= this.loaded.get(id)?.bytes ?? 0;
    this.loaded.delete(id);
    this.deferredById.delete(id);
  }

  private deferLargest(): void {
    let largest: Submission | undefined;
    let largestBytes = 0;
    for (const {submission, bytes} of this.loaded.values()) {
      if (bytes <= largestBytes) continue;
      largest = submission;
      largestBytes = bytes;
    }
    if (largest === undefined) return;
    this.remove(largest.id);
    this.deferredById.set(largest.id, toDeferred(largest));
  }
}

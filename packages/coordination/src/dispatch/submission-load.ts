import {getSubmissionBytes, type Submission} from '../submissions/index.js';
import {type DeferredSubmission, toDeferred} from './deferred-submissions.js';

/** Collects the submissions that a new owner reads, within a limit of memory: beyond it, the largest are deferred. */
export class SubmissionLoad {
  /** Memory in bytes of the submissions to be processed from the start. */
  private readonly loaded = new Map<Submission, number>();
  private readonly deferredSubmissions: DeferredSubmission[] = [];
  private bytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Submissions to be processed from the start. */
  get submissions(): readonly Submission[] {
    return [...this.loaded.keys()];
  }

  /** Submissions to be loaded later. */
  get deferred(): readonly DeferredSubmission[] {
    return this.deferredSubmissions;
  }

  /** Adds a submission. */
  add(submission: Submission): void {
    const bytes = getSubmissionBytes(submission);
    this.loaded.set(submission, bytes);
    this.bytes += bytes;
    while (this.bytes > this.maxBytes && this.loaded.size > 1) this.deferLargest();
  }

  private deferLargest(): void {
    let largest: Submission | undefined;
    let largestBytes = 0;
    for (const [submission, bytes] of this.loaded) {
      if (bytes <= largestBytes) continue;
      largest = submission;
      largestBytes = bytes;
    }
    if (largest === undefined) return;
    this.loaded.delete(largest);
    this.bytes -= largestBytes;
    this.deferredSubmissions.push(toDeferred(largest));
  }
}

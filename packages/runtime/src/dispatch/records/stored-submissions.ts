import {
  type DeferredSubmission,
  type ProgressRecord,
  type StoredSubmission,
  SubmissionLoad,
} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import {parseProgress, parseSubmission} from './record-parsers.js';
import type {StoredRecord} from './record-store.js';
import {cancelPrefix, progressPrefix, submissionPrefix} from './store-keys.js';

interface ReadProgress {
  /** Undefined when the record is unreadable. */
  readonly progress: ProgressRecord | undefined;
  readonly revision: number;
}

/**
 * Joins the records of submissions with their progress and their cancel requests, in whatever order they are read. A
 * submission with an unreadable record is left out and logged: without its progress, finished tasks would run again.
 */
export class StoredSubmissions {
  private readonly load: SubmissionLoad;
  private readonly cancelled = new Set<string>();
  private readonly progressById = new Map<string, ReadProgress>();

  /** `maxBytes` is the memory for submissions; beyond it, the largest are deferred. */
  constructor(
    private readonly log: DecisionLogger,
    maxBytes = Number.POSITIVE_INFINITY,
  ) {
    this.load = new SubmissionLoad(maxBytes);
  }

  /** Adds records; those with other keys are ignored. */
  add(records: readonly StoredRecord[]): void {
    for (const record of records) {
      const {key} = record;
      if (key.startsWith(submissionPrefix)) this.addSubmission(record);
      else if (key.startsWith(cancelPrefix)) this.cancelled.add(key.slice(cancelPrefix.length));
      else if (key.startsWith(progressPrefix)) this.addProgress(record);
    }
  }

  /** Returns the submissions to be processed from the start. */
  getLoaded(): StoredSubmission[] {
    return this.load.submissions.flatMap(submission => {
      const read = this.progressById.get(submission.id);
      if (read !== undefined && read.progress === undefined) return [];
      return {
        submission,
        cancelled: this.cancelled.has(submission.id),
        ...(read?.progress && {progress: read.progress, progressRevision: read.revision}),
      };
    });
  }

  /** Returns the submissions for which there is no memory. */
  getDeferred(): DeferredSubmission[] {
    return this.load.deferred.flatMap(deferred => {
      const {id} = deferred.submission;
      const read = this.progressById.get(id);
      if (read !== undefined && read.progress === undefined) return [];
      return {...deferred, hasStarted: read !== undefined, cancelled: this.cancelled.has(id)};
    });
  }

  private addSubmission(record: StoredRecord): void {
    const submission = parseSubmission(record.value);
    if (submission?.id === record.key.slice(submissionPrefix.length)) this.load.add(submission);
    else this.logUnreadable(record);
  }

  private addProgress(record: StoredRecord): void {
    const progress = parseProgress(record.value);
    if (progress === undefined) this.logUnreadable(record);
    const id = record.key.slice(progressPrefix.length);
    this.progressById.set(id, {progress, revision: record.revision});
  }

  private logUnreadable({key, revision}: StoredRecord): void {
    this.log.warn('record-unreadable', {key, revision});
  }
}

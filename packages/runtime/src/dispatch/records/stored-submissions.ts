import {
  type DeferredSubmission,
  type ProgressRecord,
  type StoredSubmission,
  SubmissionLoad,
} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import {parseProgress, parseSubmission} from './record-parsers.js';
import type {RecordChange, StoredRecord} from './record-store.js';
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
  /** Revision of the latest known change of each key. */
  private readonly revisions = new Map<string, number>();

  /** `maxBytes` is the memory for submissions; beyond it, the largest are deferred. */
  constructor(
    private readonly log: DecisionLogger,
    maxBytes = Number.POSITIVE_INFINITY,
  ) {
    this.load = new SubmissionLoad(maxBytes);
  }

  /** Adds records; those with other keys, and those that are older than what is known of their key, are ignored. */
  add(records: readonly StoredRecord[]): void {
    for (const record of records) {
      const {key, revision} = record;
      if (!this.isNews(key, revision)) continue;
      if (key.startsWith(submissionPrefix)) this.addSubmission(record);
      else if (key.startsWith(cancelPrefix)) this.cancelled.add(key.slice(cancelPrefix.length));
      else if (key.startsWith(progressPrefix)) this.addProgress(record);
    }
  }

  /** Applies changes in the order of their revisions; those that the records already contain are ignored. */
  apply(changes: readonly RecordChange[]): void {
    for (const change of changes) {
      if (change.kind === 'written') this.add([change.record]);
      else if (this.isNews(change.key, change.revision)) this.remove(change.key);
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

  /** Whether a change of a key is newer than what is known of it; records that it is known now. */
  private isNews(key: string, revision: number): boolean {
    if (revision <= (this.revisions.get(key) ?? 0)) return false;
    this.revisions.set(key, revision);
    return true;
  }

  private remove(key: string): void {
    if (key.startsWith(submissionPrefix)) this.load.remove(key.slice(submissionPrefix.length));
    else if (key.startsWith(cancelPrefix)) this.cancelled.delete(key.slice(cancelPrefix.length));
    else if (key.startsWith(progressPrefix))
      this.progressById.delete(key.slice(progressPrefix.length));
  }

  private addSubmission(record: StoredRecord): void {
    const id = record.key.slice(submissionPrefix.length);
    const submission = parseSubmission(record.value);
    if (submission?.id === id) return this.load.add(submission);
    this.load.remove(id);
    this.logUnreadable(record);
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

import type {SubmissionReply} from '../submissions/submission-calls.js';
import {parseProgress, parseQueueOf} from './record-parsers.js';
import type {ReadResult} from './record-store.js';

/** Returns the reply to a query from the records of a submission and of its progress. */
export function readStatus(
  queue: string,
  submission: ReadResult,
  progress: ReadResult,
): SubmissionReply {
  if (submission.kind !== 'ok' || submission.record === undefined) return {kind: 'absent'};
  // A submission whose record is unreadable exists, so it is not reported as absent.
  if ((parseQueueOf(submission.record.value) ?? queue) !== queue) return {kind: 'absent'};
  if (progress.kind !== 'ok' || progress.record === undefined) {
    return {kind: 'state', status: 'queued'};
  }
  return {kind: 'state', status: parseProgress(progress.record.value)?.final ?? 'running'};
}

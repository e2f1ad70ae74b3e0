import type {OwnerMessage, QueueLevel, SubmissionStatus} from '@chervilbeam/coordination';
import type {SubmissionCall, SubmissionReply} from './submission-calls.js';

/** Messages of an entry to another entry. */
export type EntryRequest =
  | {readonly kind: 'entry'; readonly name: string}
  /** Asks the owner for the state of a submission. */
  | {readonly kind: 'query'; readonly request: number; readonly id: string}
  /** Tells the owner that the store holds a request to cancel a submission. */
  | {readonly kind: 'cancelled'; readonly id: string}
  /** Asks another entry to carry out a caller's call, because the store turns the sender away. */
  | {readonly kind: 'call'; readonly request: number; readonly call: SubmissionCall};

/** What the owner knows of a submission. */
export interface KnownSubmission {
  /** False when the answering process does not own the submissions. */
  readonly isOwner: boolean;
  readonly status?: SubmissionStatus;
  readonly queue?: string;
}

/** Answers and news of an entry to another one. */
export type EntryResponse =
  | ({readonly kind: 'status'; readonly request: number} & KnownSubmission)
  | {readonly kind: 'reply'; readonly request: number; readonly reply: SubmissionReply}
  | {readonly kind: 'levels'; readonly levels: readonly QueueLevel[]}
  | OwnerMessage;

import type {ValidDraft, SubmissionStatus} from '@chervilbeam/coordination';

/** Request of a caller. */
export type SubmissionCall =
  | {
      readonly kind: 'submit';
      readonly queue: string;
      readonly id: string;
      readonly draft: ValidDraft;
    }
  | {readonly kind: 'query'; readonly queue: string; readonly id: string}
  | {readonly kind: 'cancel'; readonly queue: string; readonly id: string}
  | {readonly kind: 'count'; readonly queue: string};

/** Reply to a caller. */
export type SubmissionReply =
  /** The store holds the submission. */
  | {readonly kind: 'accepted'}
  /** The call had no effect: a refused submission never runs. */
  | {readonly kind: 'refused'; readonly retryAfterSeconds: number; readonly reason: RefusalReason}
  /** Whether the call took effect is not known yet. */
  | {readonly kind: 'unknown'}
  | {readonly kind: 'no-queue'}
  | {readonly kind: 'state'; readonly status: SubmissionStatus}
  /** No such submission exists. */
  | {readonly kind: 'absent'}
  | {readonly kind: 'cancelled'}
  | {readonly kind: 'pending'; readonly count: number};

/** Reason for which a call was refused. */
export type RefusalReason =
  /** The submission would not finish in time, given the work already accepted. */
  | 'backlog'
  /** The submission would be late, and its delay of the work behind it would cost callers more than it is worth. */
  | 'displacement'
  /** The owner has no memory for further submissions until some of the accepted ones have ended. */
  | 'memory'
  /** The entry cannot reach the store. */
  | 'store-unreachable'
  /** The owner, which knows how many submissions are pending, did not reply. */
  | 'backlog-unknown'
  /** No configuration has been read yet. */
  | 'not-configured';

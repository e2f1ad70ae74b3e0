import type {CheckedDraft, SubmissionStatus} from '@chervilbeam/coordination';

/** What a caller asks for. */
export type SubmissionCall =
  | {
      readonly kind: 'submit';
      readonly queue: string;
      readonly id: string;
      readonly draft: CheckedDraft;
    }
  | {readonly kind: 'query'; readonly queue: string; readonly id: string}
  | {readonly kind: 'cancel'; readonly queue: string; readonly id: string}
  | {readonly kind: 'count'; readonly queue: string};

/** Answer to a caller. */
export type SubmissionReply =
  /** The store holds the submission. */
  | {readonly kind: 'accepted'}
  /** The submission was not accepted and never runs. */
  | {readonly kind: 'refused'; readonly retryAfterSeconds: number; readonly reason: RefusalReason}
  /** Whether the call took effect is not known yet. */
  | {readonly kind: 'unknown'}
  | {readonly kind: 'no-queue'}
  | {readonly kind: 'state'; readonly status: SubmissionStatus}
  /** No such submission exists. */
  | {readonly kind: 'absent'}
  | {readonly kind: 'cancelled'}
  | {readonly kind: 'pending'; readonly count: number};

/** Why a call was refused. */
export type RefusalReason =
  /** The submission cannot be finished in time behind the accepted work. */
  | 'backlog'
  /** The store cannot be reached from here. */
  | 'store-unreachable'
  /** No configuration has been read yet. */
  | 'not-configured';

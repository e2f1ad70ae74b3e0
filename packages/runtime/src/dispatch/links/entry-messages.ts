import type {EvacuationSet, OwnerMessage, SubmissionStatus} from '@chervilbeam/coordination';
import type {SubmissionCall, SubmissionReply} from '../submissions/submission-calls.js';
import type {BacklogMessage} from './backlog-messages.js';

/** Messages that an entry sends to another entry. */
export type EntryRequest =
  | {readonly kind: 'entry'; readonly name: string}
  /** Looks up the state of a submission at the owner. */
  | {readonly kind: 'query'; readonly request: number; readonly id: string}
  /** Asks what the entry knows of earlier attempts to hand in a submission. */
  | {readonly kind: 'attempt'; readonly request: number; readonly id: string}
  /** Asks when an ownership of the entry, or of an earlier process at its address, ended. */
  | {readonly kind: 'ownership-end'; readonly request: number; readonly nonce: string}
  /** Asks the owner for the number of pending submissions of a queue. */
  | {readonly kind: 'count'; readonly request: number; readonly queue: string}
  /** Notifies the owner that the store holds a cancel request for a submission. */
  | {readonly kind: 'cancelled'; readonly id: string}
  /** Notifies the owner of the evacuated data centres as of a revision of the store. */
  | ({readonly kind: 'evacuations'} & EvacuationSet)
  /** Asks whether the entry would take the ownership over from an owner that is about to leave. */
  | {readonly kind: 'handover-query'; readonly request: number}
  /** Offers the ownership with a term; what the owner has learned is checked where it is used. */
  | {
      readonly kind: 'handover-offer';
      readonly request: number;
      readonly term: number;
      readonly learned?: unknown;
    }
  /** Relays a caller's call, because the store refuses the sender or does not answer it. */
  | {readonly kind: 'call'; readonly request: number; readonly call: SubmissionCall};

/** Result of looking up a submission at the owner. */
export interface SubmissionLookup {
  /** False when the process that replied is not the owner; the other fields are then absent. */
  readonly isOwner: boolean;
  readonly status?: SubmissionStatus;
  readonly queue?: string;
}

/**
 * What an entry knows of earlier attempts to hand in a submission: the store holds it, a write may have been or may still be
 * executed, or there was none.
 */
export type AttemptState = 'stored' | 'unresolved' | 'none';

/** Replies and notifications that an entry sends to another entry. */
export type EntryResponse =
  | ({readonly kind: 'status'; readonly request: number} & SubmissionLookup)
  | {readonly kind: 'reply'; readonly request: number; readonly reply: SubmissionReply}
  | {readonly kind: 'attempt-state'; readonly request: number; readonly state: AttemptState}
  /** Whether the entry would take the ownership over, with its processors and its round trip to the store in milliseconds. */
  | {
      readonly kind: 'handover-candidate';
      readonly request: number;
      readonly isAvailable: boolean;
      readonly processors: number;
      readonly roundTripMs: number;
    }
  /** Whether the entry has claimed the ownership that it was offered, and why not. */
  | {
      readonly kind: 'handover-result';
      readonly request: number;
      readonly isTaken: boolean;
      readonly reason?: string;
    }
  /** Milliseconds since an ownership ended at least; absent while it lasts. */
  | {readonly kind: 'ownership-ended'; readonly request: number; readonly agoMs?: number}
  /** Confirms that the owner has received the notice of a cancelled submission. */
  | {readonly kind: 'cancel-received'; readonly id: string}
  /** Number of pending submissions of a queue; absent when the process that replied is not the owner. */
  | {readonly kind: 'pending'; readonly request: number; readonly pending?: number}
  | BacklogMessage
  | OwnerMessage;

import type {EvacuationSet} from '../evacuation/index.js';
import type {ProgressRecord, QueueConfiguration, Submission} from '../submissions/index.js';
import type {CountEffect, ObserveEffect} from '../tasks/events.js';
import type {AgentMessage, OwnerMessage, WorkerIncarnation} from './agent-messages.js';
import type {LoggedDecision} from './decision-log.js';
import type {DeferredSubmission} from './deferred-submissions.js';
import type {LearnedState} from './learned/learned-state.js';
import type {AdviceReply} from './placement/advice-tickets.js';
import type {PlacementScope} from './placement/round-plan.js';

/** A submission with its stored progress. */
export interface StoredSubmission {
  readonly submission: Submission;
  readonly progress?: ProgressRecord;
  /** Revision of the stored progress. */
  readonly progressRevision?: number;
  readonly cancelled: boolean;
}

/** A worker incarnation on which an owner may have started runs. */
export interface RosterEntry {
  readonly agent: string;
  readonly life: WorkerIncarnation;
  /** Whether its lease may be as long as the worker accepts, whatever the owner has granted; absent if not. */
  readonly hasLongLease?: boolean;
}

/** Input of `Dispatcher`. */
export type DispatchEvent =
  /** The process has become the owner. */
  | {
      readonly kind: 'begin';
      /** Fencing token, higher than the token of every previous owner. */
      readonly term: number;
      /** Number of owners so far, including this one; it determines the range of run numbers of each owner. */
      readonly generation: number;
      readonly submissions: readonly StoredSubmission[];
      /** Submissions that are to be loaded once there is memory for them. */
      readonly deferred?: readonly DeferredSubmission[];
      readonly roster: readonly RosterEntry[];
      /** What the previous owner has handed over, and when it arrived, in dispatcher time. */
      readonly learned?: LearnedState;
      readonly learnedAt?: number;
      /** Unix time in milliseconds. */
      readonly wallMs: number;
    }
  | {readonly kind: 'end'; readonly reason: string}
  /** All previous owners have stopped granting leases, the last one `agoMs` milliseconds ago. */
  | {readonly kind: 'predecessors-ended'; readonly agoMs: number}
  | {readonly kind: 'configuration'; readonly configuration: QueueConfiguration}
  /** Evacuated data centres, from any source; used when the revision is higher than that of the present set. */
  | {readonly kind: 'evacuations'; readonly set: EvacuationSet}
  /** A new submission has been stored. */
  | {readonly kind: 'submitted'; readonly submission: Submission}
  /** Reply to a `load` effect; `stored` is absent when the store has no readable record of the submission. */
  | {readonly kind: 'loaded'; readonly id: string; readonly stored?: StoredSubmission}
  /** A request to cancel a submission has been stored. */
  | {readonly kind: 'cancelled'; readonly id: string}
  | {readonly kind: 'agent-up'; readonly agent: string}
  | {readonly kind: 'agent-down'; readonly agent: string}
  | {readonly kind: 'message'; readonly agent: string; readonly message: AgentMessage}
  | {
      readonly kind: 'written';
      readonly sequence: number;
      readonly result: WriteResult;
      /** Revision of the written records; absent when the write did not succeed. */
      readonly revision?: number;
    }
  /** Reply to an `advise` effect. */
  | {readonly kind: 'advised'; readonly step: string; readonly reply: AdviceReply}
  /** Time has passed; `wallMs` is the Unix time in milliseconds. */
  | {readonly kind: 'tick'; readonly wallMs: number}
  /** All events of one iteration of the event loop have been applied. */
  | {readonly kind: 'settle'}
  /** Tasks of a scope, by default all, may be placed; callers space these events by the cost of the rounds. */
  | {readonly kind: 'place'; readonly scope?: PlacementScope};

/**
 * Result of a write to the store. `conflict`: another process has become the owner. `unavailable`: the write had no
 * effect. `unknown`: the write may have taken effect.
 */
export type WriteResult = 'ok' | 'conflict' | 'unavailable' | 'unknown';

/** Progress of one submission to be stored. */
export interface StoredProgress {
  readonly id: string;
  readonly record: ProgressRecord;
  /**
   * Replaces the stored submission once its state is final: the same without spec and steps, so that the next owner has
   * little to read. The record stays as long as callers may send the submission again.
   */
  readonly finished?: Submission;
}

/** Contents of one write to the store. */
export interface ProgressWrite {
  readonly progress: readonly StoredProgress[];
  readonly roster?: readonly RosterEntry[];
  /** Ids of submissions whose records can be deleted. */
  readonly forgotten: readonly string[];
}

/** Output of `Dispatcher`. */
export type DispatchEffect =
  | {readonly kind: 'send'; readonly agent: string; readonly message: OwnerMessage}
  /** Sends a message to every agent that is connected, also to those without a worker. */
  | {readonly kind: 'broadcast'; readonly message: OwnerMessage}
  | {readonly kind: 'write'; readonly sequence: number; readonly write: ProgressWrite}
  /** Reads a deferred submission. */
  | {readonly kind: 'load'; readonly id: string}
  /** Asks the advisor which of the workers, given by id, may run a step. */
  | {
      readonly kind: 'advise';
      readonly step: string;
      readonly workers: readonly string[];
      /** Time in milliseconds after which the request counts as lost. */
      readonly timeoutMs: number;
    }
  /** Workers run nothing any more that a previous owner has started and this one does not know. */
  | {readonly kind: 'recovered'}
  /** Another process has become the owner; this one must stop dispatching. */
  | {readonly kind: 'deposed'; readonly reason: string}
  | {readonly kind: 'log'; readonly decision: LoggedDecision}
  | CountEffect
  | ObserveEffect;

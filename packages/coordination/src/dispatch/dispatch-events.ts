import type {CountEffect, ObserveEffect} from '../tasks/events.js';
import type {ProgressRecord, QueueConfiguration, Submission} from '../submissions/index.js';
import type {AgentMessage, OwnerMessage, WorkerLife} from './agent-messages.js';
import type {LoggedDecision} from './decision-log.js';

/** A submission as the store holds it. */
export interface StoredSubmission {
  readonly submission: Submission;
  readonly progress?: ProgressRecord;
  readonly cancelled: boolean;
}

/** A worker on which an owner may have started runs. */
export interface RosterEntry {
  readonly agent: string;
  readonly life: WorkerLife;
}

/** Input of `Dispatcher`. */
export type DispatchEvent =
  /** The process has become the owner of all submissions. */
  | {
      readonly kind: 'begin';
      /** Fencing token; higher than that of every earlier owner. */
      readonly term: number;
      /** Number of owners so far; run numbers of different owners do not overlap. */
      readonly generation: number;
      readonly submissions: readonly StoredSubmission[];
      readonly roster: readonly RosterEntry[];
      readonly wallMs: number;
    }
  | {readonly kind: 'end'; readonly reason: string}
  | {readonly kind: 'configuration'; readonly configuration: QueueConfiguration}
  /** The store holds a new submission. */
  | {readonly kind: 'submitted'; readonly submission: Submission}
  /** The store holds a request to cancel a submission. */
  | {readonly kind: 'cancelled'; readonly id: string}
  | {readonly kind: 'agent-up'; readonly agent: string}
  | {readonly kind: 'agent-down'; readonly agent: string}
  | {readonly kind: 'message'; readonly agent: string; readonly message: AgentMessage}
  | {readonly kind: 'written'; readonly sequence: number; readonly result: WriteResult}
  | {readonly kind: 'tick'; readonly wallMs: number}
  /** All events of one turn of the loop have been applied. */
  | {readonly kind: 'settle'};

/** Result of a write: `conflict` means that another process owns the submissions. */
export type WriteResult = 'ok' | 'conflict' | 'unavailable' | 'unknown';

/** What one write stores. */
export interface ProgressWrite {
  readonly progress: ReadonlyArray<{readonly id: string; readonly record: ProgressRecord}>;
  readonly roster?: readonly RosterEntry[];
  /** Submissions whose records are no longer needed. */
  readonly forgotten: readonly string[];
}

/** Output of `Dispatcher`. */
export type DispatchEffect =
  | {readonly kind: 'send'; readonly agent: string; readonly message: OwnerMessage}
  | {readonly kind: 'write'; readonly sequence: number; readonly write: ProgressWrite}
  /** Another process owns the submissions; this one must give up. */
  | {readonly kind: 'deposed'; readonly reason: string}
  | {readonly kind: 'log'; readonly decision: LoggedDecision}
  | CountEffect
  | ObserveEffect;

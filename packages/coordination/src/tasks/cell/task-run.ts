import type {Resources, Urgency, WorkloadKind} from '../../messages/identity.js';

/**
 * State of an attempt as the scheduler knows it. `settling` attempts have ended and wait for the ledger;
 * `lost` attempts were last known on a host that is away and may still run until `releaseAt`.
 */
export type RunState = 'starting' | 'running' | 'stopping' | 'settling' | 'lost';

/** Why the scheduler stops an attempt. */
export type StopReason = 'cancelled' | 'evicted' | 'drained' | 'moved' | 'superseded' | 'shrunk';

/** One attempt of a task. It holds a reservation on its host until it has ended. */
export interface TaskRun {
  readonly id: string;
  readonly workload: string;
  readonly team: string;
  readonly kind: WorkloadKind;
  readonly urgency: Urgency;
  readonly index: number;
  readonly attempt: number;
  readonly host: string;
  readonly reserved: Resources;
  readonly startedAt: number;
  /** Whether this owner started the attempt from the beginning, so that its run time can be learned. */
  readonly fresh: boolean;
  /** Whether the attempt uses quota lent by other teams. */
  borrowed: boolean;
  state: RunState;
  /** The attempt has ended and holds no reservation any more, although its task waits for the ledger. */
  released?: boolean;
  stopReason?: StopReason;
  /** Time of the last stop message, which is repeated until answered. */
  stopSentAt: number;
  /** For `lost`: time from which the attempt has certainly ended. */
  releaseAt: number;
  /** Limit on processors, 1 when not throttled. */
  fraction: number;
  /** Fraction of the item done, by the last report. */
  progress: number;
  /** Time of the last checkpoint, or of the start. */
  checkpointAt: number;
  checkpoint?: string;
}

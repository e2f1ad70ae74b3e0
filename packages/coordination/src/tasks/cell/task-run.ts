import type {Resources, Urgency, WorkloadKind} from '../../messages/identity.js';

/**
 * State of an attempt in the scheduler. A `settling` attempt has ended and waits for a ledger write. A `lost` attempt
 * is on a host that is disconnected or no longer reports it, and may still be running until `releaseAt`; a stop message
 * is sent only once the host reports it again.
 */
export type RunState = 'starting' | 'running' | 'stopping' | 'settling' | 'lost';

/**
 * Why the scheduler stops an attempt. `moved`: it interferes with a service. `superseded`: the task is finished or has
 * a newer attempt. `shrunk`: the workload now has fewer tasks.
 */
export type StopReason = 'cancelled' | 'evicted' | 'drained' | 'moved' | 'superseded' | 'shrunk';

/** One attempt of a task. It keeps its reservation on the host until it has ended. */
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
  /** Whether this owner started the attempt without a checkpoint, so that its run time covers the whole item. */
  readonly startedWithoutCheckpoint: boolean;
  /** Whether the attempt uses quota lent by other teams. */
  usesLentQuota: boolean;
  state: RunState;
  /** Whether the reservation is released although the run is kept until the ledger is written. */
  isReservationReleased?: boolean;
  stopReason?: StopReason;
  /** Time of the last stop message, which is resent until a report answers it. */
  stopSentAt: number;
  /** For `lost`: time at which the lease has certainly expired and the attempt has ended. */
  releaseAt: number;
  /** Processor limit as a fraction; 1 when not throttled. */
  fraction: number;
  /** Fraction of the item that was done at the last report, 0 to 1. */
  progress: number;
  /** Time of the last checkpoint, or of the start. */
  checkpointAt: number;
  checkpoint?: string;
}

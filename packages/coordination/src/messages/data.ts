import type {RequestId, Urgency, WorkloadKind} from './identity.js';

/** Scheduling class of a request. */
export interface RequestClass {
  readonly team: string;
  readonly kind: WorkloadKind;
  readonly urgency: Urgency;
}

/** HTTP headers as ordered name and value pairs. */
export type Headers = ReadonlyArray<readonly [string, string]>;

/** Reason why a request certainly did not run. */
export type NotRunReason =
  | 'busy'
  | 'shed'
  | 'deadline'
  | 'draining'
  | 'no-backend'
  | 'cancelled'
  | 'too-large'
  | 'configuration-unknown'
  | 'refused-id'
  | 'bad-request';

/** Sends a request to an agent. The body follows in `chunk` messages when `bodyLength` is positive. */
export interface Dispatch {
  readonly kind: 'dispatch';
  readonly id: RequestId;
  /** Attempt number assigned by the sender; replies echo it. */
  readonly attempt: number;
  readonly service: string;
  readonly class: RequestClass;
  readonly idempotent: boolean;
  /** Time in milliseconds that remained until the deadline when the message was sent. */
  readonly remainingMs: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly bodyLength: number;
}

/** Same content as `Dispatch`, sent to another entry, which selects the agent. */
export interface Forward extends Omit<Dispatch, 'kind'> {
  readonly kind: 'forward';
}

/** Part of a request or response body. */
export interface Chunk {
  readonly kind: 'chunk';
  readonly id: RequestId;
  readonly attempt: number;
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** Head of a complete response. `bodyLength` bytes follow in `chunk` messages. */
export interface Reply {
  readonly kind: 'reply';
  readonly id: RequestId;
  readonly attempt: number;
  readonly status: number;
  readonly headers: Headers;
  readonly bodyLength: number;
  /**
   * Flow-control credit. From an agent: free slots that the receiver may use at the host. From an entry: 0 while its
   * queue for the service is long, otherwise 1.
   */
  readonly credit: number;
}

/** States that this attempt certainly did not run. */
export interface Rejected {
  readonly kind: 'rejected';
  readonly id: RequestId;
  readonly attempt: number;
  readonly reason: NotRunReason;
  /** Time in milliseconds after which the same target may be tried again; 0 for immediately. */
  readonly holdMs: number;
  readonly credit: number;
}

/** The attempt may have run, but no complete response is available. */
export interface Failed {
  readonly kind: 'failed';
  readonly id: RequestId;
  readonly attempt: number;
  readonly detail: string;
  readonly credit: number;
}

/** Cancels an attempt whose answer is no longer needed. */
export interface Cancel {
  readonly kind: 'cancel';
  readonly id: RequestId;
  readonly attempt: number;
}

/** Asks a peer for the state of a request after a lost connection. An absent id is refused from then on. */
export interface Recover {
  readonly kind: 'recover';
  readonly id: RequestId;
  readonly attempt: number;
}

/** Answer to `recover`. The response of a finished request follows as `reply` with the same attempt. */
export interface Recovered {
  readonly kind: 'recovered';
  readonly id: RequestId;
  readonly attempt: number;
  readonly state: 'finished' | 'running' | 'absent';
}

/** Every message on a data connection after the handshake. */
export type DataMessage =
  Dispatch | Forward | Chunk | Reply | Rejected | Failed | Cancel | Recover | Recovered;

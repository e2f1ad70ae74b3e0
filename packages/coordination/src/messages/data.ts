import type {RequestId, Urgency, WorkloadKind} from './identity.js';

/** Scheduling class of a request. */
export interface RequestClass {
  readonly team: string;
  readonly kind: WorkloadKind;
  readonly urgency: Urgency;
}

/** HTTP headers as ordered name and value pairs. */
export type Headers = ReadonlyArray<readonly [string, string]>;

/** Why a request was proven not to have run. */
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
  /** Number of the attempt at the sender; replies echo it. */
  readonly attempt: number;
  readonly service: string;
  readonly class: RequestClass;
  readonly idempotent: boolean;
  /** Remaining time in milliseconds when the message was sent. */
  readonly remainingMs: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly bodyLength: number;
}

/** Same content as `Dispatch`, from an entry to an entry of another region, which picks the agent. */
export interface Forward extends Omit<Dispatch, 'kind'> {
  readonly kind: 'forward';
}

/** Part of a request or answer body. */
export interface Chunk {
  readonly kind: 'chunk';
  readonly id: RequestId;
  readonly attempt: number;
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** Start of a whole answer. `bodyLength` bytes follow in `chunk` messages. */
export interface Reply {
  readonly kind: 'reply';
  readonly id: RequestId;
  readonly attempt: number;
  readonly status: number;
  readonly headers: Headers;
  readonly bodyLength: number;
  /** Free slots that the sender of this reply may use at the answering host. */
  readonly credit: number;
}

/** Proof that this attempt did not run. */
export interface Rejected {
  readonly kind: 'rejected';
  readonly id: RequestId;
  readonly attempt: number;
  readonly reason: NotRunReason;
  /** Time in milliseconds after which the same target may be tried again; 0 for at once. */
  readonly holdMs: number;
  readonly credit: number;
}

/** The attempt reached the backend server but its answer is not available as a whole. */
export interface Failed {
  readonly kind: 'failed';
  readonly id: RequestId;
  readonly attempt: number;
  readonly detail: string;
  readonly credit: number;
}

/** The caller has given up. */
export interface Cancel {
  readonly kind: 'cancel';
  readonly id: RequestId;
  readonly attempt: number;
}

/** Asks an agent after a lost connection what became of a request; an absent id is refused from then on. */
export interface Recover {
  readonly kind: 'recover';
  readonly id: RequestId;
  readonly attempt: number;
}

/** Answer to `recover`; a finished answer follows as `reply` with the same attempt. */
export interface Recovered {
  readonly kind: 'recovered';
  readonly id: RequestId;
  readonly attempt: number;
  readonly state: 'finished' | 'running' | 'absent';
}

/** Every message on a data connection after the handshake. */
export type DataMessage =
  Dispatch | Forward | Chunk | Reply | Rejected | Failed | Cancel | Recover | Recovered;

import type {Configuration} from '../configuration/document.js';
import type {Announce, Heartbeat, Hello, Summary} from '../messages/control.js';
import type {DataMessage, Headers, NotRunReason} from '../messages/data.js';

/** Outcome of a request as reported to its caller. */
export type Outcome = 'answered' | 'not-run' | 'unknown';

/** Timeline event of a request. */
export interface RequestEvent {
  readonly subject: 'request';
  /** Key of the request as returned by `getRequestKey`. */
  readonly id: string;
  readonly step: string;
  readonly peer?: string;
  readonly attempt?: number;
  readonly detail?: string;
}

/** Effects that every reducer for requests may return. */
export type CommonEffect =
  | {readonly kind: 'count'; readonly name: string; readonly by: number}
  | {readonly kind: 'observe'; readonly name: string; readonly valueMs: number}
  | {readonly kind: 'record'; readonly event: RequestEvent};

/** A request of a caller with its complete body. */
export interface CallerRequest {
  readonly kind: 'caller-request';
  /** Number that the I/O layer assigned to the caller's exchange. */
  readonly caller: number;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  /** Value of the header `chervilbeam-idempotent`, if the caller sent it. */
  readonly idempotent?: boolean;
}

/** A message from a peer with its complete body. */
export interface PeerMessage {
  readonly kind: 'message';
  readonly peer: string;
  readonly message: DataMessage;
  readonly body?: Uint8Array;
}

/** Events of `EntryRequests`. A `tick` is expected about every 10 ms. */
export type EntryRequestsEvent =
  | CallerRequest
  | PeerMessage
  | {readonly kind: 'tick'}
  | {readonly kind: 'caller-gone'; readonly caller: number}
  | {readonly kind: 'peer-up'; readonly peer: string; readonly hello: Hello}
  | {readonly kind: 'peer-down'; readonly peer: string}
  | {readonly kind: 'announce'; readonly peer: string; readonly message: Announce}
  | {readonly kind: 'heartbeat'; readonly peer: string; readonly message: Heartbeat}
  | {readonly kind: 'summary'; readonly peer: string; readonly message: Summary}
  | {readonly kind: 'configuration'; readonly configuration: Configuration}
  | {readonly kind: 'drain'};

/** Sends a message to a connected peer; the framing layer splits the body into chunks. */
export interface SendData {
  readonly kind: 'send';
  readonly peer: string;
  readonly message: DataMessage;
  readonly body?: Uint8Array;
}

/** Answers a caller with the outcome of its request. */
export interface CallerAnswer {
  readonly kind: 'answer';
  readonly caller: number;
  readonly outcome: Outcome;
  readonly status: number;
  readonly headers: Headers;
  readonly body: Uint8Array;
  readonly reason?: NotRunReason;
}

/** Effects of `EntryRequests`. */
export type EntryRequestsEffect =
  | CommonEffect
  | SendData
  | CallerAnswer
  /** Sent to every connected entry, or only to `to`. */
  | {readonly kind: 'summary'; readonly to?: string; readonly message: Summary}
  | {readonly kind: 'drained'};

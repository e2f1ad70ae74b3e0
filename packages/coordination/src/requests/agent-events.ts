import type {Configuration} from '../configuration/document.js';
import type {Announce, Heartbeat, Hello} from '../messages/control.js';
import type {DataMessage, Dispatch, Headers} from '../messages/data.js';
import type {CommonEffect, PeerMessage} from './entry-events.js';

/** Announcement and heartbeat of a backend server, which then counts as alive for 3 s. */
export interface BackendAnnounced {
  readonly kind: 'backend-announced';
  readonly url: string;
  readonly services: readonly string[];
  /** Concurrent requests that it serves. */
  readonly slots: number;
  /** Connections that it accepts. */
  readonly connections: number;
  readonly draining: boolean;
}

/** The complete answer of a backend server. */
export interface ExchangeFinished {
  readonly kind: 'exchange-finished';
  readonly exchange: number;
  readonly status: number;
  readonly headers: Headers;
  readonly body: Uint8Array;
}

/** An exchange without a complete answer. `begun` is false only if no byte of the request was written. */
export interface ExchangeFailed {
  readonly kind: 'exchange-failed';
  readonly exchange: number;
  readonly begun: boolean;
  readonly detail: string;
}

/** Events of `AgentExchanges`. A `tick` is expected about every 10 ms. */
export type AgentExchangesEvent =
  | PeerMessage
  | BackendAnnounced
  | ExchangeFinished
  | ExchangeFailed
  | {readonly kind: 'tick'}
  | {readonly kind: 'peer-up'; readonly peer: string; readonly hello: Hello}
  | {readonly kind: 'peer-down'; readonly peer: string}
  | {readonly kind: 'backend-lapsed'; readonly url: string}
  | {readonly kind: 'configuration'; readonly configuration: Configuration}
  | {readonly kind: 'drain'};

/** Sends a message to a connected entry. */
export interface AgentSend {
  readonly kind: 'send';
  readonly peer: string;
  readonly message: DataMessage | Announce | Heartbeat;
  readonly body?: Uint8Array;
}

/** Opens an exchange with a backend server. */
export interface OpenExchange {
  readonly kind: 'open-exchange';
  readonly exchange: number;
  readonly url: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Uint8Array;
  /** Time after which the I/O layer gives up and reports `exchange-failed`. */
  readonly timeoutMs: number;
}

/** Effects of `AgentExchanges`. `announce` goes to every connected entry. */
export type AgentExchangesEffect =
  | CommonEffect
  | AgentSend
  | OpenExchange
  | {readonly kind: 'abort-exchange'; readonly exchange: number}
  | {readonly kind: 'announce'; readonly message: Announce}
  | {readonly kind: 'drained'};

/** An attempt of an entry that waits for the answer to a request at an agent. */
export interface Waiter {
  readonly peer: string;
  readonly attempt: number;
  cancelled: boolean;
}

/** A request at an agent, either queued or in an exchange with a backend server. */
export interface AgentWork {
  readonly key: string;
  readonly dispatch: Dispatch;
  readonly body: Uint8Array;
  readonly deadline: number;
  readonly waiters: Waiter[];
  /** Number of the exchange and URL of its backend server; absent while the request is queued. */
  exchange?: number;
  url?: string;
  readonly receivedAt: number;
  /** Time at which the exchange was opened; 0 while the request is queued. */
  startedAt: number;
  /** Whether the exchange was aborted because the I/O layer had not ended it after the deadline. */
  aborted: boolean;
}

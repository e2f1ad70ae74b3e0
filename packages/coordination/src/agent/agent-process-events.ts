import type {
  ConnectionEvent,
  ProcessMessage,
  ProcessSend,
  RecordTimeline,
} from '../entry/entry-process-events.js';
import type {
  AgentExchangesEffect,
  AgentExchangesEvent,
  OpenExchange,
} from '../requests/agent-events.js';
import type {CommonEffect} from '../requests/entry-events.js';
import type {AgentTasksEffect, AgentTasksEvent} from '../tasks/events.js';

/** Events of `AgentProcess`. A `tick` is expected about every 10 ms. */
export type AgentProcessEvent =
  | ProcessMessage
  | ConnectionEvent
  | Extract<
      AgentExchangesEvent,
      {
        readonly kind:
          | 'backend-announced'
          | 'backend-lapsed'
          | 'exchange-finished'
          | 'exchange-failed'
          | 'drain'
          | 'tick';
      }
    >
  | Extract<
      AgentTasksEvent,
      {readonly kind: 'worker-state' | 'worker-unreachable' | 'worker-result' | 'worker-usage'}
    >;

/** Effects of `AgentProcess`. */
export type AgentProcessEffect =
  | Extract<CommonEffect, {readonly kind: 'count' | 'observe'}>
  | RecordTimeline
  | ProcessSend
  | OpenExchange
  | Extract<AgentExchangesEffect, {readonly kind: 'abort-exchange' | 'drained'}>
  | Extract<AgentTasksEffect, {readonly kind: 'worker-call' | 'read-worker'}>;

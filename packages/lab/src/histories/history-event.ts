import type {Resources} from '@chervilbeam/coordination';

/** Outcome of a request as the caller saw it. */
export type RequestOutcome = 'answered' | 'not-run' | 'unknown';

/** How a run of a task ended, as the worker saw it. */
export type RunEnd = 'finished' | 'checkpointed' | 'stopped' | 'lost';

/**
 * An event recorded by an external observer during a test run. Exchanges and task runs are recorded by the backend
 * server and the worker, so they are ground truth, independent of the state of the system under test. All times are
 * in milliseconds on one clock.
 */
export type HistoryEvent = {readonly at: number} & (
  | {
      readonly kind: 'request-submitted';
      readonly request: string;
      readonly entry: string;
      readonly service: string;
      readonly idempotent: boolean;
      /** Time after which the caller stops waiting; absent for no limit. */
      readonly timeoutMs?: number;
    }
  | {
      readonly kind: 'request-answered';
      readonly request: string;
      readonly outcome: RequestOutcome;
      readonly status: number;
      readonly body: string;
    }
  /** The caller lost its connection or stopped waiting before the answer, so it does not know the outcome. */
  | {readonly kind: 'request-abandoned'; readonly request: string}
  | {
      readonly kind: 'exchange-started';
      readonly request: string;
      readonly host: string;
      readonly exchange: string;
    }
  | {
      readonly kind: 'exchange-ended';
      readonly exchange: string;
      /** Whole body of the answer; absent when the exchange was cut before its answer. */
      readonly body?: string;
      /** Why an exchange ended without an answer. */
      readonly cut?: 'aborted' | 'killed' | 'deadline';
    }
  | {
      readonly kind: 'run-started';
      readonly task: string;
      readonly attempt: number;
      readonly host: string;
      readonly resources: Resources;
      readonly checkpoint?: string;
    }
  | {
      readonly kind: 'run-ended';
      readonly task: string;
      readonly attempt: number;
      readonly host: string;
      readonly end: RunEnd;
      readonly checkpoint?: string;
    }
  /** The ledger records a task as finished. */
  | {readonly kind: 'task-recorded-finished'; readonly task: string}
  /** The ledger holds a checkpoint of a task. */
  | {readonly kind: 'checkpoint-recorded'; readonly task: string; readonly checkpoint: string}
  | {readonly kind: 'task-cancelled'; readonly task: string}
  | {readonly kind: 'host-capacity'; readonly host: string; readonly capacity: Resources}
  /** A host is being drained, or its agent is shutting down; it must soon get no new work. */
  | {readonly kind: 'host-leaving'; readonly host: string}
  | {readonly kind: 'host-returned'; readonly host: string}
  | {readonly kind: 'process-started'; readonly process: string}
  | {readonly kind: 'process-killed'; readonly process: string}
  /** The connection between two processes broke. */
  | {readonly kind: 'connection-lost'; readonly between: readonly [string, string]}
  | {readonly kind: 'shutdown-began'; readonly process: string}
  | {readonly kind: 'process-exited'; readonly process: string}
  | {
      readonly kind: 'configuration-accepted';
      readonly version: number;
      readonly changeId: string;
    }
  /** The operator received the answer that the change was not accepted. */
  | {readonly kind: 'configuration-refused'; readonly changeId: string}
  | {
      readonly kind: 'configuration-in-force';
      readonly process: string;
      readonly version: number;
      /** Digest of the whole configuration at this version. */
      readonly digest: string;
    }
  /** Ids of the accepted changes that the store holds. */
  | {readonly kind: 'configuration-log'; readonly changeIds: readonly string[]}
  /** No fault is active any more; from now on the system has to recover within its time limits. */
  | {readonly kind: 'faults-over'}
  | {readonly kind: 'history-ended'}
);

/** Type of the events of one kind. */
export type HistoryEventOf<Kind extends HistoryEvent['kind']> = Extract<
  HistoryEvent,
  {readonly kind: Kind}
>;

import type {Configuration} from '../configuration/document.js';
import type {
  Acknowledge,
  Announce,
  AttemptState,
  Grant,
  Heartbeat,
  Hello,
  Report,
  Start,
  Stop,
  Throttle,
  Usage,
} from '../messages/control.js';
import type {Resources} from '../messages/identity.js';
import type {LedgerRecord} from './ledger/ledger-record.js';

/** Adds to a counter. */
export interface CountEffect {
  readonly kind: 'count';
  readonly name: string;
  readonly by: number;
}

/** Adds a value to a histogram. */
export interface ObserveEffect {
  readonly kind: 'observe';
  readonly name: string;
  readonly valueMs: number;
}

/** Adds an event to the timeline. */
export interface RecordEffect {
  readonly kind: 'record';
  readonly event: {
    readonly kind: string;
    readonly task?: string;
    readonly attempt?: number;
    readonly host?: string;
    readonly workload?: string;
    readonly detail?: string;
  };
}

/** Ownership of the cell by this process. In `hold` the store is unreachable but peers confirm the ownership. */
export type OwnershipMode = 'owner' | 'hold' | 'none';

/** Messages that a cell scheduler sends to agents. */
export type SchedulerMessage = Grant | Start | Stop | Throttle | Acknowledge;

/** Input of `CellScheduler`. */
export type CellSchedulerEvent =
  /** `wallTimeMs` is the time since the Unix epoch; due dates are ignored until it is known. */
  | {readonly kind: 'tick'; readonly wallTimeMs?: number}
  /** From `until` on the scheduler sends nothing unless the ownership is confirmed again. */
  | {
      readonly kind: 'ownership';
      readonly mode: OwnershipMode;
      readonly term: number;
      readonly until?: number;
    }
  /** Without a ledger in the store `record` is absent and `revision` 0. */
  | {readonly kind: 'ledger-read'; readonly record?: LedgerRecord; readonly revision: number}
  | {
      readonly kind: 'ledger-written';
      readonly sequence: number;
      readonly result: 'written' | 'conflict' | 'unknown';
      /** New revision after `written`. */
      readonly revision?: number;
    }
  | {readonly kind: 'configuration'; readonly configuration: Configuration}
  | {
      readonly kind: 'host-up';
      readonly host: string;
      readonly hello: Hello;
      readonly announce?: Announce;
    }
  | {readonly kind: 'host-down'; readonly host: string}
  | {readonly kind: 'announce'; readonly host: string; readonly message: Announce}
  | {readonly kind: 'heartbeat'; readonly host: string; readonly message: Heartbeat}
  | {readonly kind: 'report'; readonly host: string; readonly message: Report}
  /**
   * Fencing is complete, but a previous owner may still act on unreachable hosts until `unreportedBlockedUntil`. Tasks
   * that no host reports may restart after that time and after the lease wait.
   */
  | {readonly kind: 'fence-complete'; readonly unreportedBlockedUntil: number}
  /**
   * An operator has declared the permanent loss of a host. It is removed unless it is connected or a run on it may still
   * hold a lease.
   */
  | {readonly kind: 'loss'; readonly host: string};

/** Reason why work does not run as requested. */
export type FindingReason =
  | 'never-runnable'
  | 'expected-late'
  | 'late'
  | 'over-quota'
  | 'no-capacity'
  | 'repeated-failures'
  | 'worker-suspended'
  | 'possibly-running'
  | 'deposed';

/** Output of `CellScheduler`. */
export type CellSchedulerEffect =
  | {readonly kind: 'send'; readonly host: string; readonly message: SchedulerMessage}
  | {readonly kind: 'read-ledger'}
  | {
      readonly kind: 'write-ledger';
      readonly sequence: number;
      readonly record: LedgerRecord;
      readonly expectedRevision: number;
    }
  | {
      readonly kind: 'finding';
      readonly workload: string;
      readonly reason: FindingReason;
      readonly detail: string;
    }
  | CountEffect
  | ObserveEffect
  | RecordEffect;

/** A task as the worker reports it. */
export interface WorkerTask {
  readonly task: string;
  readonly attempt: number;
  readonly workload: string;
  readonly resources: Resources;
  readonly state: AttemptState;
  /** Remaining lease at the worker in milliseconds. */
  readonly leaseMs: number;
  readonly checkpoint?: string;
  readonly detail?: string;
}

/** Action of a call from an agent to its worker. */
export type WorkerAction = 'start' | 'renew' | 'checkpoint' | 'throttle' | 'stop';

/** Input of `AgentTasks`. */
export type AgentTasksEvent =
  /** `inFlight` and `configVersion` are sent in the next heartbeats; when absent, the previous values are. */
  | {readonly kind: 'tick'; readonly inFlight?: number; readonly configVersion?: number}
  | {
      readonly kind: 'message';
      readonly peer: string;
      readonly message: Grant | Start | Stop | Throttle | Acknowledge;
    }
  | {readonly kind: 'peer-up'; readonly peer: string; readonly hello?: Hello}
  | {readonly kind: 'peer-down'; readonly peer: string}
  /** Answer to `read-worker`. Finished and failed tasks are listed until they are stopped. */
  | {
      readonly kind: 'worker-state';
      readonly capacity: Resources;
      readonly rack: string;
      readonly tasks: readonly WorkerTask[];
      readonly term: number;
    }
  /** The worker did not answer `read-worker`. */
  | {readonly kind: 'worker-unreachable'}
  | {
      readonly kind: 'worker-result';
      readonly task: string;
      readonly attempt: number;
      readonly action: WorkerAction;
      readonly ok: boolean;
      readonly checkpoint?: string;
      readonly detail?: string;
    }
  | {
      readonly kind: 'worker-usage';
      readonly usages: ReadonlyArray<{
        readonly task: string;
        readonly attempt: number;
        readonly usage: Usage;
      }>;
    };

/** Output of `AgentTasks`. */
export type AgentTasksEffect =
  | {readonly kind: 'send'; readonly peer: string; readonly message: Report | Heartbeat}
  | {
      readonly kind: 'worker-call';
      readonly task: string;
      readonly attempt: number;
      readonly action: WorkerAction;
      readonly term: number;
      /** Remaining lease in milliseconds, for `start` and `renew`. */
      readonly leaseMs?: number;
      /** For `start`. */
      readonly workload?: string;
      readonly resources?: Resources;
      readonly checkpoint?: string;
      /** For `throttle`. */
      readonly fraction?: number;
    }
  | {readonly kind: 'read-worker'}
  | CountEffect
  | ObserveEffect
  | RecordEffect;

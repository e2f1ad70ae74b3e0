import type {EndRow, OrderOutcome, RunRow} from '@chervilbeam/coordination';

/** A start of a run, as a worker is told. */
export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  readonly deadlineMs: number;
  readonly token: number;
  readonly checkpoint?: string;
  readonly ticket?: string;
}

/** Answer of a worker to an order: its outcome, and the worker's clock when it gave one. */
export interface OrderReply {
  readonly outcome: OrderOutcome;
  readonly clockMs?: number;
}

/** Answer of a worker to the renewal of its lease. */
export type HoldReply =
  | {
      readonly kind: 'listed';
      readonly startedAtMs?: number;
      readonly clockMs: number;
      readonly running: readonly RunRow[];
      readonly ends: readonly EndRow[];
    }
  /** The worker has seen a higher fencing token. */
  | {readonly kind: 'fenced'}
  /** Another life of the worker answers at the address. */
  | {readonly kind: 'other-life'}
  /** Nothing listens at the address. */
  | {readonly kind: 'absent'}
  | {readonly kind: 'no-answer'; readonly detail: string};

/** The worker beside an agent. No call throws; each has a time limit. */
export interface WorkerPort {
  /** Starts a run. */
  start(id: string, order: StartOrder): Promise<OrderReply>;
  /** Stops a run, and bars it when it is not there. */
  stop(id: string, task: string, run: number, token: number): Promise<OrderReply>;
  /** Sets the share in percent at which a run works. */
  pace(id: string, task: string, run: number, percent: number, token: number): Promise<OrderReply>;
  /** Renews the lease, acknowledges ends and lists runs and ends; waits up to `waitMs` for an end. */
  hold(
    id: string,
    options: {
      readonly token: number;
      readonly acknowledged: number;
      readonly deadlineMs?: number;
      readonly waitMs?: number;
    },
  ): Promise<HoldReply>;
}

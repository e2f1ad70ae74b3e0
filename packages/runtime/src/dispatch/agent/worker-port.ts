import {
  type CommandOutcome,
  getWorkerIncarnation,
  type RunEndRow,
  type RunRow,
  type WorkerDescription,
} from '@chervilbeam/coordination';

/** Parameters of a command to start a run. `deadlineMs` is on the worker's clock; `token` is the fencing token. */
export interface StartCommand {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  readonly deadlineMs: number;
  readonly token: number;
  readonly checkpoint?: string;
  readonly ticket?: string;
}

/** Reply of a worker to a command: the outcome, and the worker's clock in milliseconds if the reply has it. */
export interface CommandReply {
  readonly outcome: CommandOutcome;
  readonly clockMs?: number;
}

/** Result of a lease renewal. */
export type LeaseRenewalReply =
  | {
      readonly kind: 'listed';
      readonly startedAtMs?: number;
      readonly clockMs: number;
      readonly running: readonly RunRow[];
      readonly ends: readonly RunEndRow[];
      /** Whether the worker has unacknowledged ends that the list leaves out because of its length. */
      readonly hasMoreEnds?: boolean;
    }
  /** The worker has seen a higher fencing token. */
  | {readonly kind: 'fenced'}
  /** Another incarnation of the worker answers at the address. */
  | {readonly kind: 'other-life'}
  /** Nothing listens at the address: the connection was refused. */
  | {readonly kind: 'absent'}
  | {readonly kind: 'no-answer'; readonly detail: string};

/** Client of the worker on the agent's host. Calls have a time limit and do not throw: failures are results. */
export interface WorkerPort {
  /** Starts a run. */
  start(id: string, order: StartCommand): Promise<CommandReply>;
  /** Stops a run; if the worker does not have it, the run is prevented from starting later. */
  stop(id: string, task: string, run: number, token: number): Promise<CommandReply>;
  /** Sets the pace of a run, in percent of full pace. */
  pace(
    id: string,
    task: string,
    run: number,
    percent: number,
    token: number,
  ): Promise<CommandReply>;
  /**
   * Renews the lease until `deadlineMs` on the worker's clock, acknowledges ends of runs up to a sequence number, and
   * lists the running runs and the unacknowledged ends. Waits up to `waitMs` milliseconds for a run to end.
   */
  hold(
    id: string,
    options: {
      readonly token: number;
      readonly acknowledged: number;
      readonly deadlineMs?: number;
      readonly waitMs?: number;
    },
  ): Promise<LeaseRenewalReply>;
}

/**
 * Whether the lists come from the given incarnation of the worker. Older worker versions do not send their start
 * time; their lists are assumed to match.
 */
export function isFromIncarnation(
  reply: Extract<LeaseRenewalReply, {kind: 'listed'}>,
  worker: WorkerDescription,
): boolean {
  const {startedAtMs} = reply;
  return startedAtMs === undefined || getWorkerIncarnation(worker.id, startedAtMs) === worker.life;
}

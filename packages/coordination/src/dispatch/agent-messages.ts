import type {EvacuationSet} from '../evacuation/index.js';
import type {Resources} from '../messages/identity.js';

/** One incarnation (`life`) of a worker, identified by id and start time; a restarted worker may keep its id. */
export type WorkerIncarnation = string;

/** Returns the identifier of a worker incarnation; `startedAtMs` is the worker's start time in milliseconds. */
export function getWorkerIncarnation(id: string, startedAtMs: number): WorkerIncarnation {
  return `${id}@${startedAtMs}`;
}

/** A worker's description of itself. */
export interface WorkerDescription {
  readonly life: WorkerIncarnation;
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly state: 'ready' | 'draining';
  /** Minimum time in milliseconds until a draining worker leaves. */
  readonly remainingMs?: number;
  /** Time in milliseconds for which the worker is still slow because it was idle; absent when it is not. */
  readonly coldMs?: number;
}

/** A run on a worker: task, run number, latest checkpoint, progress in percent and a measurement. */
export type RunRow = readonly [
  task: string,
  run: number,
  checkpoint: string,
  percent: number,
  /** Tail latency in milliseconds of a serving task, otherwise thousandths of a core in use. */
  measurement: number,
];

/**
 * Outcome of a run. `failed` is a fault of the task or the worker, `lapsed` an expired lease; `alone` and `broken`
 * occur only in gangs.
 */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** The end of a run: sequence number of the end on this worker incarnation, task, run number, outcome, checkpoint. */
export type RunEndRow = readonly [
  end: number,
  task: string,
  run: number,
  how: RunOutcome,
  checkpoint: string,
];

/** Reason why a worker or its agent refused to start a run. */
export type StartRefusal =
  /** The worker has seen a higher fencing token. */
  | 'fenced'
  /** The worker has already stopped or ended this run or a later one of the task. */
  | 'old-run'
  /** The deadline of the command has passed. */
  | 'late'
  /** The worker has too few free resources. */
  | 'room'
  /** The ticket is missing, unknown or expired. */
  | 'ticket'
  /** The worker is draining. */
  | 'draining'
  /** The data centre is evacuated; nothing was sent to the worker. */
  | 'evacuated'
  /** The start has no spec and the agent does not know the submission's; nothing was sent to the worker. */
  | 'spec-unknown'
  /** The worker is overloaded or unhealthy and has not executed the command. */
  | 'busy'
  /** The worker cannot parse the command. */
  | 'invalid'
  /** Another incarnation of the worker is running. */
  | 'other-life';

/** Result of a command; messages carry the command's number as `order`, and the term of its owner. */
export type CommandOutcome =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'refused'; readonly reason: StartRefusal}
  /** A stop was executed; `listed` is whether the worker still lists the run or its end. */
  | {readonly kind: 'stopped'; readonly listed: boolean}
  /** The worker has not answered; the command may still be executed. */
  | {readonly kind: 'unknown'};

/** An incarnation of a worker that another one has replaced. */
export interface FormerWorker {
  readonly life: WorkerIncarnation;
  /** Time in milliseconds since it stopped answering its agent; absent if the agent has not noticed that. */
  readonly silentMs?: number;
}

/** Messages from an agent to the dispatching entry. */
export type AgentMessage =
  /** First message on a connection: identifies the agent. */
  | {
      readonly kind: 'agent';
      readonly agent: string;
      readonly dataCentre: string;
      readonly incarnation: number;
    }
  /** Current description of the agent's worker. */
  | {
      readonly kind: 'worker';
      readonly worker: WorkerDescription;
      /** The incarnation before this one; absent if there was none, and from older agents. */
      readonly former?: FormerWorker;
    }
  /** The agent regards the worker incarnation as ended. */
  | {
      readonly kind: 'worker-gone';
      readonly life: WorkerIncarnation;
      readonly reason: 'farewell' | 'refused-connection' | 'replaced';
      /** Time in milliseconds since the worker stopped answering the agent; absent from older agents. */
      readonly silentMs?: number;
    }
  /** Runs and unacknowledged run ends that the worker has listed. */
  | {
      readonly kind: 'report';
      readonly life: WorkerIncarnation;
      /** Term of the owner that the report is for. */
      readonly term: number;
      /** Latest fencing token that the worker had seen when it made the list; absent from older agents. */
      readonly token?: number;
      /** Time in milliseconds on the worker's clock when it answered. */
      readonly clockMs: number;
      /** All current runs; absent when the report contains only ends. */
      readonly running?: readonly RunRow[];
      readonly ends: readonly RunEndRow[];
      /** Whether the worker has more ends, which it lists once these are acknowledged. */
      readonly hasMoreEnds?: boolean;
    }
  /** Result of the command with the number `order` of the owner with the fencing token `term`. */
  | {
      readonly kind: 'result';
      readonly order: number;
      /** Each owner numbers its own commands; absent from older agents. */
      readonly term?: number;
      readonly outcome: CommandOutcome;
    };

/** Messages from the dispatching entry to an agent. */
export type OwnerMessage =
  /** This process is the owner since `term`; `entries` are the addresses of the other entries. */
  | {
      readonly kind: 'owner';
      readonly term: number;
      /** Highest fencing token that the owner has given out; absent from older owners, whose token is the term. */
      readonly token?: number;
      readonly entries: readonly string[];
      /** Absent when the owner knows of none, and from older owners. */
      readonly evacuations?: EvacuationSet;
    }
  /** Replaces the evacuated data centres that the agent knows, if its revision is higher. */
  | ({readonly kind: 'evacuations'} & EvacuationSet)
  /** This process is not the owner; `address` is the owner's address, when known. */
  | {readonly kind: 'elsewhere'; readonly address?: string; readonly entries: readonly string[]}
  /** Grants or renews the worker's lease. */
  | {
      readonly kind: 'lease';
      readonly life: WorkerIncarnation;
      readonly term: number;
      /** Fencing token for all later calls to the incarnation; absent from older owners, whose token is the term. */
      readonly token?: number;
      /** Time in milliseconds on the worker's clock until which its runs may continue. */
      readonly deadlineMs: number;
      /** Ends up to this number are stored, so the worker may discard them. */
      readonly acknowledged: number;
    }
  | {
      readonly kind: 'start';
      readonly order: number;
      readonly life: WorkerIncarnation;
      readonly term: number;
      readonly task: string;
      readonly run: number;
      /** Absent when an earlier start on the same connection contained the spec of the submission. */
      readonly spec?: string;
      /** As in `lease`; the worker refuses the command when this time has passed. */
      readonly deadlineMs: number;
      readonly checkpoint?: string;
      readonly ticket?: string;
    }
  | {
      readonly kind: 'stop';
      readonly order: number;
      readonly life: WorkerIncarnation;
      readonly term: number;
      readonly task: string;
      readonly run: number;
    }
  | {
      readonly kind: 'pace';
      readonly order: number;
      readonly life: WorkerIncarnation;
      readonly term: number;
      readonly task: string;
      readonly run: number;
      /** Pace in percent of full speed; 0 pauses the run. */
      readonly percent: number;
    };

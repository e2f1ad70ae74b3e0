import type {Resources} from '../messages/identity.js';

/** One life of a worker: its id and start, since the same id may start again. */
export type WorkerLife = string;

/** Returns the name of one life of a worker. */
export function getWorkerLife(id: string, startedAtMs: number): WorkerLife {
  return `${id}@${startedAtMs}`;
}

/** What a worker says of itself. */
export interface WorkerDescription {
  readonly life: WorkerLife;
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly state: 'ready' | 'draining';
  /** Least time in milliseconds until a draining worker leaves. */
  readonly remainingMs?: number;
}

/** A run on a worker: task, run number, newest checkpoint, percent done and a measurement. */
export type RunRow = readonly [
  task: string,
  run: number,
  checkpoint: string,
  percent: number,
  /** Tail latency in milliseconds of a serving task, otherwise processors in use. */
  figure: number,
];

/** How a run has ended. `failed` is a fault of the task or the worker; `alone` and `broken` concern gangs. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** The end of a run: its number on this life of the worker, task, run number, how, checkpoint. */
export type EndRow = readonly [
  end: number,
  task: string,
  run: number,
  how: RunEnd,
  checkpoint: string,
];

/** Why a worker or its agent has not started a run. */
export type StartRefusal =
  /** The worker has seen a higher fencing token. */
  | 'fenced'
  /** The worker has stopped or ended this run or a later one. */
  | 'old-run'
  /** The deadline of the order has passed. */
  | 'late'
  /** The task does not fit. */
  | 'room'
  /** The ticket is missing, unknown or expired. */
  | 'ticket'
  /** The worker is leaving. */
  | 'draining'
  /** The worker is overloaded or unhealthy and has done nothing. */
  | 'busy'
  /** The worker cannot read the order. */
  | 'invalid'
  /** Another life of the worker is present. */
  | 'other-life';

/** Result of an order. */
export type OrderOutcome =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'refused'; readonly reason: StartRefusal}
  /** A stop was carried out; `listed` tells whether the worker still lists the run or its end. */
  | {readonly kind: 'stopped'; readonly listed: boolean}
  /** The worker has not answered; the order may yet be carried out. */
  | {readonly kind: 'unknown'};

/** Messages of an agent to the dispatching entry. */
export type AgentMessage =
  | {
      readonly kind: 'agent';
      readonly agent: string;
      readonly dataCentre: string;
      readonly incarnation: number;
    }
  | {readonly kind: 'worker'; readonly worker: WorkerDescription}
  | {
      readonly kind: 'worker-gone';
      readonly life: WorkerLife;
      readonly reason: 'farewell' | 'refused-connection' | 'replaced';
    }
  | {
      readonly kind: 'report';
      readonly life: WorkerLife;
      /** Term whose fencing token the worker had seen when it gave the list. */
      readonly term: number;
      /** The worker's own clock in milliseconds when it answered. */
      readonly clockMs: number;
      /** Everything that runs; absent when only ends are told. */
      readonly running?: readonly RunRow[];
      readonly ends: readonly EndRow[];
    }
  | {readonly kind: 'result'; readonly order: number; readonly outcome: OrderOutcome};

/** Messages of the dispatching entry to an agent. */
export type OwnerMessage =
  | {readonly kind: 'owner'; readonly term: number; readonly entries: readonly string[]}
  /** The process is not the owner; `address` is that of the owner when it is known. */
  | {readonly kind: 'elsewhere'; readonly address?: string; readonly entries: readonly string[]}
  | {
      readonly kind: 'lease';
      readonly life: WorkerLife;
      readonly term: number;
      /** Time on the worker's clock until which everything that runs there may go on. */
      readonly deadlineMs: number;
      /** Ends up to this number are stored and may be forgotten. */
      readonly acknowledged: number;
    }
  | {
      readonly kind: 'start';
      readonly order: number;
      readonly life: WorkerLife;
      readonly term: number;
      readonly task: string;
      readonly run: number;
      readonly spec: string;
      readonly deadlineMs: number;
      readonly checkpoint?: string;
      readonly ticket?: string;
    }
  | {
      readonly kind: 'stop';
      readonly order: number;
      readonly life: WorkerLife;
      readonly term: number;
      readonly task: string;
      readonly run: number;
    }
  | {
      readonly kind: 'pace';
      readonly order: number;
      readonly life: WorkerLife;
      readonly term: number;
      readonly task: string;
      readonly run: number;
      readonly percent: number;
    };

import type {ConfigurationChange} from '../configuration/document.js';
import type {Resources, Role} from './identity.js';

/** First message on every connection between two processes of the system. */
export interface Hello {
  readonly kind: 'hello';
  readonly protocol: number;
  readonly deployment: string;
  readonly role: Role;
  readonly dataCentre: string;
  readonly region: string;
  readonly name: string;
  /** Identifies this run of the process; a restart changes it. */
  readonly incarnation: number;
  readonly purpose: 'control' | 'data';
  /** Addresses (`ip:port`) of entries that the sender knows. */
  readonly peers: readonly string[];
  readonly configVersion: number;
  /** Cell of the host of an agent; the main cell when absent. */
  readonly cell?: string;
}

/** Current capacity and state of a host. Sent whenever it changes. */
export interface Announce {
  readonly kind: 'announce';
  readonly host: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** Names of the services that the backend server serves. */
  readonly services: readonly string[];
  /** Maximum number of concurrent requests at the host. */
  readonly slots: number;
  /** Connections that the backend servers of the host accept. */
  readonly connections: number;
  readonly draining: boolean;
}

/** Heartbeat of an agent. Grants echo its `stamp`, a time in milliseconds on the agent's clock. */
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly stamp: number;
  readonly configVersion: number;
  /** Number of requests in progress or queued at the host. */
  readonly inFlight: number;
}

/** State of one attempt on a host. */
export type AttemptState = 'starting' | 'running' | 'stopped' | 'finished' | 'failed' | 'refused';

/** Report of one attempt. The agent keeps the report of a terminal state until it is acknowledged. */
export interface AttemptReport {
  readonly task: string;
  readonly attempt: number;
  readonly state: AttemptState;
  readonly detail?: string;
  /** Latest checkpoint of the attempt, if any. */
  readonly checkpoint?: string;
  /** Measured usage; delayed and noisy. */
  readonly usage?: Usage;
}

/** Measured usage of one task. */
export interface Usage {
  /** Processor time in thousandths of a core. */
  readonly processors: number;
  readonly memoryMb: number;
  /** Ratio of the current service latency to the latency without co-located tasks; only for services. */
  readonly latencyRatio?: number;
  /** Fraction of the work that is done, from 0 to 1; only for items of batch jobs. */
  readonly progress?: number;
}

/** Report of the attempts on a host: all of them when `full`, otherwise only the changed ones. */
export interface Report {
  readonly kind: 'report';
  readonly full: boolean;
  readonly attempts: readonly AttemptReport[];
}

/** Extends the leases of all tasks of a host to `stamp + leaseMs` on the agent's clock. */
export interface Grant {
  readonly kind: 'grant';
  readonly cell: string;
  /** Term of the sender's ownership of the cell. An agent refuses messages of a lower term than it has seen. */
  readonly term: number;
  readonly stamp: number;
  readonly leaseMs: number;
}

/** Starts an attempt under a lease until `stamp + leaseMs` on the agent's clock. */
export interface Start {
  readonly kind: 'start';
  readonly cell: string;
  readonly term: number;
  readonly stamp: number;
  readonly leaseMs: number;
  readonly task: string;
  readonly attempt: number;
  readonly workload: string;
  readonly resources: Resources;
  /** Checkpoint from which the attempt resumes, if any. */
  readonly checkpoint?: string;
}

/** Stops an attempt, after a checkpoint if `checkpoint` is set. */
export interface Stop {
  readonly kind: 'stop';
  readonly cell: string;
  readonly term: number;
  readonly task: string;
  readonly attempt: number;
  readonly checkpoint: boolean;
  readonly reason: string;
}

/** Limits an attempt to a fraction of its processors; 1 removes the limit. */
export interface Throttle {
  readonly kind: 'throttle';
  readonly cell: string;
  readonly term: number;
  readonly task: string;
  readonly attempt: number;
  readonly fraction: number;
}

/** Acknowledges terminal reports that are recorded, so that the agent may discard them. */
export interface Acknowledge {
  readonly kind: 'acknowledge';
  readonly term: number;
  readonly attempts: ReadonlyArray<{readonly task: string; readonly attempt: number}>;
}

/** Configuration changes after version `from`, or one part of a larger transfer when `snapshot` is given. */
export interface Config {
  readonly kind: 'config';
  readonly from: number;
  readonly changes: readonly ConfigurationChange[];
  readonly snapshot?: unknown;
}

/** Asks a peer for the configuration changes after a version. */
export interface ConfigRequest {
  readonly kind: 'config-request';
  readonly after: number;
}

/** Number of hosts and slots of one service that are reachable through an entry. */
export interface ServiceSummary {
  readonly service: string;
  readonly hosts: number;
  readonly slots: number;
}

/**
 * Capacity of the services reachable through an entry. It excludes the load, which replies and rejections report for
 * the services in use: summaries that included it took 7 MB/s on the link out of a region with 580 services and 48
 * entries.
 */
export interface Summary {
  readonly kind: 'summary';
  readonly dataCentre: string;
  /** Whether only services changed since the previous summary are listed. One without hosts is removed. */
  readonly partial?: boolean;
  readonly services: readonly ServiceSummary[];
}

/** Asks an entry to vouch for the sender as owner of a cell while the store is unreachable. */
export interface Vouch {
  readonly kind: 'vouch';
  readonly cell: string;
  readonly term: number;
  /** Number of the request, higher with each one. The answer echoes it. */
  readonly sequence: number;
}

/** Answer to `vouch`. A granted vouch is valid for `validMs` milliseconds. */
export interface Vouched {
  readonly kind: 'vouched';
  readonly cell: string;
  readonly term: number;
  readonly sequence: number;
  readonly granted: boolean;
  readonly validMs: number;
}

/** Announces the term of a new owner of a cell to an entry, which from then on refuses lower terms. */
export interface Fence {
  readonly kind: 'fence';
  readonly cell: string;
  readonly term: number;
}

/** Answer to `fence` with the remaining validity, in milliseconds, of the last vouch issued for the cell. */
export interface Fenced {
  readonly kind: 'fenced';
  readonly cell: string;
  readonly term: number;
  readonly entry: string;
  readonly remainingMs: number;
}

/** Every message on a control connection after the handshake. */
export type ControlMessage =
  | Announce
  | Heartbeat
  | Report
  | Grant
  | Start
  | Stop
  | Throttle
  | Acknowledge
  | Config
  | ConfigRequest
  | Summary
  | Vouch
  | Vouched
  | Fence
  | Fenced;

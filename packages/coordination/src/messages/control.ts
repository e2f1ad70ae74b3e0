import type {ConfigurationChange} from '../configuration/document.js';
import type {Resources, Role} from './identity.js';

/** First message on every connection between the system's own processes. */
export interface Hello {
  readonly kind: 'hello';
  readonly protocol: number;
  readonly deployment: string;
  readonly role: Role;
  readonly dataCentre: string;
  readonly region: string;
  readonly name: string;
  readonly incarnation: number;
  readonly purpose: 'control' | 'data';
  /** Addresses (`ip:port`) of entries that the sender knows. */
  readonly peers: readonly string[];
  readonly configVersion: number;
  /** Cell of the host of an agent; the main cell when absent. */
  readonly cell?: string;
}

/** What a host offers at present. Sent on change. */
export interface Announce {
  readonly kind: 'announce';
  readonly host: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** Names of the services that the backend server answers for. */
  readonly services: readonly string[];
  readonly slots: number;
  readonly connections: number;
  readonly draining: boolean;
}

/** Sign of life of an agent with its own clock stamp, which grants echo. */
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly stamp: number;
  readonly configVersion: number;
  /** Exchanges in progress and queued at the host. */
  readonly inFlight: number;
}

/** State of one attempt on a host. */
export type AttemptState = 'starting' | 'running' | 'stopped' | 'finished' | 'failed' | 'refused';

/** Report of one attempt; stays with the agent until acknowledged when the state is terminal. */
export interface AttemptReport {
  readonly task: string;
  readonly attempt: number;
  readonly state: AttemptState;
  readonly detail?: string;
  /** Latest checkpoint of the attempt, if any. */
  readonly checkpoint?: string;
  /** Measured usage, late and noisy. */
  readonly usage?: Usage;
}

/** Measured usage of one task. */
export interface Usage {
  readonly processors: number;
  readonly memoryMb: number;
  /** Ratio of the present service latency to its value alone; only for services. */
  readonly latencyRatio?: number;
  /** Fraction of work done, 0 to 1; only for batch items. */
  readonly progress?: number;
}

/** Attempts on a host. `full` lists every attempt; otherwise only the changed ones. */
export interface Report {
  readonly kind: 'report';
  readonly full: boolean;
  readonly attempts: readonly AttemptReport[];
}

/** Extends the leases of all tasks of a host to `stamp + leaseMs` on the agent's clock. */
export interface Grant {
  readonly kind: 'grant';
  readonly cell: string;
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
  readonly checkpoint?: string;
}

/** Stops an attempt, after a checkpoint if asked. */
export interface Stop {
  readonly kind: 'stop';
  readonly cell: string;
  readonly term: number;
  readonly task: string;
  readonly attempt: number;
  readonly checkpoint: boolean;
  readonly reason: string;
}

/** Limits an attempt to a fraction of its processors; 1 releases it. */
export interface Throttle {
  readonly kind: 'throttle';
  readonly cell: string;
  readonly term: number;
  readonly task: string;
  readonly attempt: number;
  readonly fraction: number;
}

/** Terminal reports that are recorded and may be forgotten by the agent. */
export interface Acknowledge {
  readonly kind: 'acknowledge';
  readonly term: number;
  readonly attempts: ReadonlyArray<{readonly task: string; readonly attempt: number}>;
}

/** Configuration changes after `from`, or a whole configuration when a snapshot is given. */
export interface Config {
  readonly kind: 'config';
  readonly from: number;
  readonly changes: readonly ConfigurationChange[];
  readonly snapshot?: unknown;
}

/** Asks a peer for the configuration after a version. */
export interface ConfigRequest {
  readonly kind: 'config-request';
  readonly after: number;
}

/** Hosts and slots for one service behind an entry. */
export interface ServiceSummary {
  readonly service: string;
  readonly hosts: number;
  readonly slots: number;
}

/**
 * Capacity of the services behind an entry. The load is not in it: replies and rejections tell it for the services
 * that are in use, and a summary that followed the load cost 7 MB/s on the link at 580 services and 48 entries.
 */
export interface Summary {
  readonly kind: 'summary';
  readonly dataCentre: string;
  /** The services are changes to what was told before; one without hosts is gone. */
  readonly partial?: boolean;
  readonly services: readonly ServiceSummary[];
}

/** Asks an entry to vouch for the owner of a cell while the store is unreachable. */
export interface Vouch {
  readonly kind: 'vouch';
  readonly cell: string;
  readonly term: number;
  readonly sequence: number;
}

/** Answer to `vouch`. */
export interface Vouched {
  readonly kind: 'vouched';
  readonly cell: string;
  readonly term: number;
  readonly sequence: number;
  readonly granted: boolean;
  readonly validMs: number;
}

/** Tells an entry that a new owner has taken a cell. */
export interface Fence {
  readonly kind: 'fence';
  readonly cell: string;
  readonly term: number;
}

/** Answer to `fence` with the remaining time of the last vouch given for the cell. */
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

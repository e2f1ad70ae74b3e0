import type {AgentMessage, Clock, OwnerMessage} from '@chervilbeam/coordination';
import type {Metrics} from '../../metrics/index.js';
import type {DecisionLogger} from '../decision-logger.js';
import type {LinkDialer} from '../links/link.js';
import type {RecordStore} from '../records/record-store.js';
import type {WorkerPort} from './worker-port.js';

/** Options of `AgentNode`. */
export interface AgentNodeOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly incarnation: number;
  readonly store: RecordStore;
  readonly worker: WorkerPort;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly metrics: Metrics;
  /** Addresses of entries to try while the store does not answer; they need not be up. */
  readonly seeds: readonly string[];
  /** Interval of the worker's heartbeats in milliseconds. */
  readonly heartbeatIntervalMs?: number;
  /** Opens links; by default over TCP. */
  readonly dial?: LinkDialer<OwnerMessage, AgentMessage>;
}

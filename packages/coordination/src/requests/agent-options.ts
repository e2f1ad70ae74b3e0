import type {Resources} from '../messages/identity.js';

/** Options of `AgentExchanges`. */
export interface AgentExchangesOptions {
  readonly host: string;
  readonly rack: string;
  /** Resources of the host; `slots` limits the number of open exchanges. */
  readonly capacity: Resources;
  /** Wait for a slot in milliseconds above which requests are shed; see `FairQueueOptions.standingMs`. */
  readonly queueMs: number;
  /** Largest answer of a backend server that is passed on; a larger one counts as failed. */
  readonly maxAnswerBytes: number;
  /** Interval of the heartbeats to the entries. */
  readonly heartbeatMs: number;
  /** Time after `drain` during which requests of entries that do not know of it yet are still served. */
  readonly drainGraceMs: number;
}

/** Defaults of the optional settings. */
export const agentExchangesDefaults = {
  queueMs: 50,
  maxAnswerBytes: 4 * 1024 * 1024,
  heartbeatMs: 1000,
  drainGraceMs: 1000,
};

/** Options of `AgentExchanges` with defaults for all but the identity and size of the host. */
export type AgentExchangesSettings = Pick<AgentExchangesOptions, 'host' | 'rack' | 'capacity'> &
  Partial<AgentExchangesOptions>;

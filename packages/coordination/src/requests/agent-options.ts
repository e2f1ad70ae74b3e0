import type {Resources} from '../messages/identity.js';

/** Options of `AgentExchanges`. */
export interface AgentExchangesOptions {
  readonly host: string;
  readonly rack: string;
  /** What the host offers; `slots` bounds the exchanges that are open at once. */
  readonly capacity: Resources;
  /** Longest wait for a slot. */
  readonly queueMs: number;
  readonly maxAnswerBytes: number;
  readonly heartbeatMs: number;
  /** Time after `drain` in which entries that have not heard of it are still served. */
  readonly drainGraceMs: number;
}

/** Values of the options that a caller need not give. */
export const agentExchangesDefaults = {
  queueMs: 50,
  maxAnswerBytes: 4 * 1024 * 1024,
  heartbeatMs: 1000,
  drainGraceMs: 1000,
};

/** Options of `AgentExchanges` with defaults for all but the identity and size of the host. */
export type AgentExchangesSettings = Pick<AgentExchangesOptions, 'host' | 'rack' | 'capacity'> &
  Partial<AgentExchangesOptions>;

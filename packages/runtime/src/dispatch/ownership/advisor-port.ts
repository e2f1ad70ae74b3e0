import type {AdviceReply} from '@chervilbeam/coordination';

/** Client of the advisor, which decides which workers may run a step. Calls do not throw: failures are results. */
export interface AdvisorPort {
  /** Asks which of the workers, given by id, may run a step; `unavailable` after `timeoutMs` milliseconds. */
  advise(step: string, workers: readonly string[], timeoutMs: number): Promise<AdviceReply>;
}

import type {DispatchEffect, DispatchEvent, ProgressWrite} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import {ProgressWriter} from '../records/progress-writer.js';
import type {RecordStore} from '../records/record-store.js';
import {readSubmission, toWriteResult} from '../records/stored-state.js';
import type {AdvisorPort} from './advisor-port.js';

/** Options of `DispatchCalls`. */
export interface DispatchCallsOptions {
  readonly store: RecordStore;
  readonly log: DecisionLogger;
  /** Absent on a platform without an advisor. */
  readonly advisor?: AdvisorPort;
  /** Returns the term of the dispatcher. */
  readonly getTerm: () => number;
  /** Whether the ownership with a term lasts. */
  readonly isCurrent: (term: number) => boolean;
  /** Posts the outcome of a call to the dispatcher. */
  readonly post: (event: DispatchEvent) => void;
}

/** Calls of the dispatcher to the store and to the advisor. */
export class DispatchCalls {
  private readonly progressWriter: ProgressWriter;

  constructor(private readonly options: DispatchCallsOptions) {
    this.progressWriter = new ProgressWriter(options.store);
  }

  /** Reads a submission that was not loaded when the ownership began. */
  async load(id: string): Promise<void> {
    const {store, log, getTerm, isCurrent, post} = this.options;
    const term = getTerm();
    const shouldContinue = () => isCurrent(term);
    const stored = await readSubmission(id, {store, log, shouldContinue});
    if (shouldContinue()) post({kind: 'loaded', id, ...(stored && {stored})});
  }

  /** Asks the advisor which workers may run a step. */
  async advise(effect: Extract<DispatchEffect, {kind: 'advise'}>): Promise<void> {
    const {advisor, post} = this.options;
    const {step, workers, timeoutMs} = effect;
    const reply = advisor
      ? await advisor.advise(step, workers, timeoutMs)
      : ({kind: 'unavailable', reason: 'no-advisor'} as const);
    post({kind: 'advised', step, reply});
  }

  /** Stores the progress of submissions. */
  async writeProgress(sequence: number, write: ProgressWrite): Promise<void> {
    const {getTerm, post} = this.options;
    const result = await this.progressWriter.write(getTerm(), sequence, write);
    post({
      kind: 'written',
      sequence,
      result: toWriteResult(result),
      ...(result.kind === 'ok' && {revision: result.revision}),
    });
  }
}

import {type Clock, rankSuccessors} from '@chervilbeam/coordination';
import type {Metrics} from '../../../metrics/index.js';
import type {DecisionLogger} from '../../decision-logger.js';
import type {HandoverCalls} from './handover-calls.js';

/** Time in milliseconds in which the other entries say whether they are available. A round trip takes at most 60 ms. */
const candidatesTimeoutMs = 250;
/** Time in milliseconds in which a successor reads the stored state and claims; then the next one is asked. */
const offerTimeoutMs = 1_200;

/** Options of `HandoverSender`. */
export interface HandoverSenderOptions {
  readonly calls: HandoverCalls;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly metrics: Metrics;
  /** Returns what this owner has learned. */
  readonly getLearned: () => unknown;
}

/** Finds a successor for an owner that is about to leave and goes on scheduling meanwhile. */
export class HandoverSender {
  constructor(private readonly options: HandoverSenderOptions) {}

  /**
   * Offers the ownership to one entry after another. Returns the address of the entry that says it has claimed it, or
   * undefined when none has within `limitMs` milliseconds or once `shouldContinue` returns false.
   */
  async run(
    term: number,
    limitMs: number,
    shouldContinue: () => boolean,
  ): Promise<string | undefined> {
    const {calls, clock, log, metrics, getLearned} = this.options;
    const deadline = clock.now() + limitMs;
    const candidates = await calls.findCandidates(Math.min(candidatesTimeoutMs, limitMs));
    const successors = rankSuccessors(candidates);
    if (successors.length === 0) {
      log.warn('handover-failed', {term, reason: 'no-successor', candidates: candidates.length});
      metrics.count('handovers_failed');
    }
    for (const successor of successors) {
      const leftMs = deadline - clock.now();
      if (leftMs <= 0 || !shouldContinue()) return undefined;
      log.log('handover-offered', {term, successor});
      metrics.count('handovers_offered');
      const offer = {term, learned: getLearned()};
      const reply = await calls.offer(successor, offer, Math.min(offerTimeoutMs, leftMs));
      if (reply?.isTaken) {
        log.log('handover-finished', {term, successor});
        metrics.count('handovers_finished');
        return successor;
      }
      log.warn('handover-failed', {term, successor, reason: reply?.reason ?? 'no-answer'});
      metrics.count('handovers_failed');
    }
    return undefined;
  }
}

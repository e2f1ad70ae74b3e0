import {type Clock, rankSuccessors} from '@chervilbeam/coordination';
import type {Metrics} from '../../../metrics/index.js';
import type {DecisionLogger} from '../../decision-logger.js';
import type {HandoverCalls} from './handover-calls.js';

/**
 * Time in milliseconds in which the other entries say whether they are available, with a read of their list. A round trip
 * between regions takes 60 ms, and the owner goes on meanwhile.
 */
const candidatesTimeoutMs = 400;
/** Time in milliseconds in which a successor reads the stored state and claims; then the next one is asked. */
const offerTimeoutMs = 1_200;

/** Pause in milliseconds before the entries are asked again when none of them was available, as after a restart. */
const pauseMs = 150;
/** Time in milliseconds without any answer after which nobody is asked any more, as with entries of a previous version. */
const silenceMs = 800;

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
   * Offers the ownership to one entry after another, and again to those that become available meanwhile. Returns the
   * address of the entry that says it has claimed it, or undefined when none has within `limitMs` milliseconds or once
   * `shouldContinue` returns false.
   */
  async run(
    term: number,
    limitMs: number,
    shouldContinue: () => boolean,
  ): Promise<string | undefined> {
    const {calls, clock, log, metrics} = this.options;
    const deadline = clock.now() + limitMs;
    let answeredAt = clock.now();
    let candidateCount = 0;
    while (shouldContinue() && clock.now() < Math.min(deadline, answeredAt + silenceMs)) {
      const timeoutMs = Math.min(candidatesTimeoutMs, deadline - clock.now());
      const candidates = await calls.findCandidates(timeoutMs);
      if (candidates.length > 0) answeredAt = clock.now();
      candidateCount = candidates.length;
      const successors = rankSuccessors(candidates);
      for (const successor of successors) {
        if (!shouldContinue() || clock.now() >= deadline) break;
        if (await this.offer(successor, term, deadline)) return successor;
      }
      if (shouldContinue()) await delay(Math.min(pauseMs, Math.max(0, deadline - clock.now())));
    }
    if (!shouldContinue()) return undefined;
    log.warn('handover-failed', {term, reason: 'no-successor', candidates: candidateCount});
    metrics.count('handovers_failed');
    return undefined;
  }

  /** Offers the ownership to one entry; returns whether that has claimed it. */
  private async offer(successor: string, term: number, deadline: number): Promise<boolean> {
    const {calls, clock, log, metrics, getLearned} = this.options;
    log.log('handover-offered', {term, successor});
    metrics.count('handovers_offered');
    const timeoutMs = Math.min(offerTimeoutMs, deadline - clock.now());
    const reply = await calls.offer(successor, {term, learned: getLearned()}, timeoutMs);
    if (reply?.isTaken) {
      log.log('handover-finished', {term, successor});
      metrics.count('handovers_finished');
      return true;
    }
    log.warn('handover-failed', {term, successor, reason: reply?.reason ?? 'no-answer'});
    metrics.count('handovers_failed');
    return false;
  }
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

import {
  getCriticalPathMs,
  getObjectiveMs,
  getWorkCoreMs,
  type QueuePolicy,
  type Step,
} from '../../submissions/index.js';
import {
  maxObjectiveMultiple,
  maxRetryAfterSeconds,
  minRetryAfterSeconds,
} from '../admission/admission-limits.js';
import {getIdFraction, getPreference} from './preference.js';
import type {WorkStatistics} from './queue-work.js';
import {getSubmissionValue, getSubmissionWork, lateValueShare} from './submission-value.js';
import {getDensityRank, getLossBehind, getWaitAhead, type WaitingCurve} from './waiting-curve.js';

/** Smallest range in seconds over which the retries of refused callers are spread. */
const minSpreadSeconds = 2;

/** Reason of a refusal: the work would end too late, or would cost the work behind it more than it is worth. */
export type CostRefusal = 'backlog' | 'displacement';

/** Decision on a new submission by what its delay and its acceptance cost callers. */
export type CostDecision =
  | {readonly kind: 'accept'; readonly waitMs: number}
  | {
      readonly kind: 'refuse';
      readonly reason: CostRefusal;
      /** Expected time in milliseconds until its first task starts. */
      readonly waitMs: number;
      readonly retryAfterSeconds: number;
    };

/** What the decision on a new submission depends on. */
export interface CostAdmissionOptions {
  readonly id: string;
  readonly queue: QueuePolicy;
  readonly steps: readonly Step[];
  /** Learned ratio of actual to estimated run times. */
  readonly runTimeFactor: number;
  /** What was learned of the work of the queue's submissions. */
  readonly queueWork: WorkStatistics | undefined;
  /** Waiting work of the same priority and kind. */
  readonly curve: WaitingCurve;
  /** Work in core-milliseconds that was accepted since the curve was made and goes before this submission. */
  readonly acceptedCoreMs: number;
}

/** Returns the rank of a new submission in the order of waiting work, among those of its priority. */
export function getNewRank(
  id: string,
  steps: readonly Step[],
  queueWork: WorkStatistics | undefined,
): number {
  const work = getSubmissionWork(steps);
  const value =
    getSubmissionValue(work, queueWork) * (queueWork ? getPreference(id, work, queueWork) : 1);
  return getDensityRank(value / Math.max(1, work));
}

/**
 * Decides on a new submission that runs once. It is compared only with the work that would be placed before it, and refused
 * when it cannot end within twice its objective behind that; then the caller can try elsewhere at once. It is also refused
 * when it would be late and the delay of the work behind it costs callers more than it is worth.
 */
export function decideCostAdmission(options: CostAdmissionOptions): CostDecision {
  const {id, queue, steps, runTimeFactor, queueWork, curve, acceptedCoreMs} = options;
  if (curve.cores <= 0) return {kind: 'accept', waitMs: 0};
  const rank = getNewRank(id, steps, queueWork);
  const waitMs = getWaitAhead(curve, rank) + acceptedCoreMs / curve.cores;
  const coreMs = getWorkCoreMs(steps, runTimeFactor);
  const ownMs = coreMs / curve.cores;
  const endMs = waitMs + Math.max(getCriticalPathMs(steps, runTimeFactor), ownMs);
  const objectiveMs = getObjectiveMs(queue, steps, runTimeFactor);
  const refuse = (reason: CostRefusal, overMs: number): CostDecision => ({
    kind: 'refuse',
    reason,
    waitMs: Math.round(waitMs),
    retryAfterSeconds: getRetryAfterSeconds(id, overMs),
  });
  const limitMs = maxObjectiveMultiple * objectiveMs;
  if (endMs > limitMs) return refuse('backlog', endMs - limitMs);
  if (endMs <= objectiveMs) return {kind: 'accept', waitMs: Math.round(waitMs)};
  const value = getSubmissionValue(getSubmissionWork(steps), queueWork) * lateValueShare;
  const cost = (getLossBehind(curve, rank) * ownMs) / 1_000;
  if (cost > value) return refuse('displacement', endMs - objectiveMs);
  return {kind: 'accept', waitMs: Math.round(waitMs)};
}

/**
 * Returns a delay in seconds of at least `overMs`, unless that is very long, so that the submission is accepted then if the backlog shrinks as expected. The delays
 * of different submissions are spread over as much time again, so that they do not return all at once.
 */
export function getRetryAfterSeconds(id: string, overMs: number): number {
  const baseSeconds = Math.min(overMs / 1_000, maxRetryAfterSeconds / 2);
  const spreadSeconds = Math.max(minSpreadSeconds, baseSeconds);
  return Math.max(minRetryAfterSeconds, Math.ceil(baseSeconds + spreadSeconds * getIdFraction(id)));
}

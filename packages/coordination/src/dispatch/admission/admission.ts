import {
  getCriticalPathMs,
  getObjectiveMs,
  getWorkCoreMs,
  isLasting,
  type Queue,
  type Step,
} from '../../submissions/index.js';
import {
  maxObjectiveMultiple,
  maxRetryAfterSeconds,
  minRetryAfterSeconds,
} from './admission-limits.js';
import type {QueueBacklog} from './queue-backlogs.js';

/** Decision on a new submission. */
export type AdmissionDecision =
  | {readonly kind: 'accept'}
  | {readonly kind: 'refuse'; readonly retryAfterSeconds: number; readonly waitMs: number};

/**
 * Decides whether a new submission is accepted. Under overload, work that would miss its objective because of the
 * backlog is refused immediately: accepted work stays on time and the caller can try elsewhere. Scheduled submissions
 * (`isTimed`) and those with serving tasks are always accepted, as is all work while the backlog is unknown or no
 * worker is usable.
 */
export function decideAdmission(
  queue: Queue,
  steps: readonly Step[],
  isTimed: boolean,
  backlog: QueueBacklog | undefined,
): AdmissionDecision {
  if (backlog === undefined || backlog.cores === 0 || isTimed || isLasting({steps})) {
    return {kind: 'accept'};
  }
  const factor = backlog.runTimeFactor;
  const objectiveMs = getObjectiveMs(queue, steps, factor) * maxObjectiveMultiple;
  const criticalPathMs = getCriticalPathMs(steps, factor);
  const parallelMs = getWorkCoreMs(steps, factor) / backlog.cores;
  const waitMs = steps.some(step => step.fills) ? backlog.fillWaitMs : backlog.waitMs;
  const expectedEndMs = waitMs + Math.max(criticalPathMs, parallelMs);
  if (expectedEndMs <= objectiveMs) return {kind: 'accept'};
  const seconds = Math.ceil((expectedEndMs - objectiveMs) / 1000);
  const retryAfterSeconds = Math.min(maxRetryAfterSeconds, Math.max(minRetryAfterSeconds, seconds));
  return {kind: 'refuse', retryAfterSeconds, waitMs: Math.round(waitMs)};
}

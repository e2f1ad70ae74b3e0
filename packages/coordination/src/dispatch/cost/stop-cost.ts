import type {Step} from '../../submissions/index.js';
import {getTaskCores, getTaskWork} from './submission-value.js';

/**
 * Smallest ratio of the densities of two submissions for which a run of one is stopped in favour of the other; below it, errors of
 * the estimates would decide.
 */
const minDensityRatio = 3;

/** Returns the work in core-milliseconds that is thrown away when a run of this age in milliseconds is stopped. */
export function getStopLoss(step: Step, ageMs: number, restoreMs: number): number {
  return getTaskCores(step) * (step.checkpoints ? Math.min(ageMs, restoreMs) : ageMs);
}

/**
 * Whether a run is stopped to make room for a task of `step`. The capacity that is thrown away would have earned at the density of
 * the waiting submission, so it must be worth less than what the task earns more than the run.
 */
export function isStopWorthwhile(
  step: Step,
  waitingDensity: number,
  runningDensity: number,
  loss: number,
): boolean {
  if (waitingDensity < runningDensity * minDensityRatio) return false;
  return loss * waitingDensity <= (waitingDensity - runningDensity) * getTaskWork(step);
}

import {getEstimateMs, type Step} from '../../submissions/index.js';
import type {WorkStatistics} from './queue-work.js';

/** Share of its value that a result keeps after the objective, until it is of no use. */
export const lateValueShare = 0.15;

/** Multiple of the objective after which a result is of no use to the caller. */
export const expiredObjectiveMultiple = 3;

/** Value of a submission without work, and largest value, relative to the worth of its queue. */
const baseValue = 0.3;
const maxValue = 4;

/** Processors that an accelerator counts as. */
const processorsPerAccelerator = 8;

/** `0`: can still meet its objective; `1`: late; `2`: too late to be of use to the caller. */
export type Lateness = 0 | 1 | 2;

const valueShares: Readonly<Record<Lateness, number>> = {0: 1, 1: lateValueShare, 2: 0};

/** Returns the share of its value that a submission of this lateness can still obtain. */
export function getValueShare(lateness: Lateness): number {
  return valueShares[lateness];
}

/** Returns the processors that a task of a step counts as, including its accelerators; 0 for a serving task. */
export function getTaskCores({need, lasting}: Step): number {
  return lasting ? 0 : need.processors + need.accelerators * processorsPerAccelerator;
}

/** Returns the work of one task of a step in core-milliseconds, by the submitter's estimate; 0 for a serving task. */
export function getTaskWork(step: Step): number {
  return getTaskCores(step) * getEstimateMs(step);
}

/** Returns the work of one occurrence of a submission in core-milliseconds, by the submitter's estimates. */
export function getSubmissionWork(steps: readonly Step[]): number {
  let sum = 0;
  for (const step of steps) sum += step.count * getTaskWork(step);
  return sum;
}

/**
 * Returns the value of a result within the objective, relative to the worth of the submission's queue. `work` is in
 * core-milliseconds by estimates; without known statistics, every submission counts as a mean one.
 */
export function getSubmissionValue(
  work: number,
  statistics: Pick<WorkStatistics, 'meanWork'> | undefined,
): number {
  const relativeWork = statistics === undefined ? 1 : work / statistics.meanWork;
  return Math.min(maxValue, baseValue + (1 - baseValue) * relativeWork);
}

import {getOccurrenceCount, type QueuePolicy, type Step, type Submission} from './submission.js';

/** Assumed run time in milliseconds of a task without an estimate. */
export const defaultEstimateMs = 1_000;

/** Overhead in milliseconds of one run: start command, worker startup and report of the end. */
const runOverheadMs = 100;

/** Returns the estimated run time of one task of a step in milliseconds. */
export function getEstimateMs(step: Step): number {
  return step.estimatedMs > 0 ? step.estimatedMs : defaultEstimateMs;
}

/**
 * Returns the length of a submission's critical path in milliseconds: the longest sum of run times along dependent
 * steps. `factor` corrects the estimates; steps for which `isFinished` returns true count as 0.
 */
export function getCriticalPathMs(
  steps: readonly Step[],
  factor = 1,
  isFinished: (step: number) => boolean = () => false,
): number {
  const ends: number[] = [];
  let longest = 0;
  steps.forEach((step, index) => {
    let start = 0;
    for (const predecessor of step.after) start = Math.max(start, ends[predecessor] ?? 0);
    const stepMs = isFinished(index) ? 0 : getEstimateMs(step) * factor + runOverheadMs;
    const end = start + stepMs;
    ends.push(end);
    longest = Math.max(longest, end);
  });
  return longest;
}

/** Returns the total processor time of one occurrence in core-milliseconds; serving tasks are not counted. */
export function getWorkCoreMs(steps: readonly Step[], factor = 1): number {
  let sum = 0;
  for (const step of steps) sum += getStepWorkCoreMs(step, step.count, factor);
  return sum;
}

/** Returns the processor time of `count` tasks of a step in core-milliseconds; 0 for serving tasks. */
export function getStepWorkCoreMs(step: Step, count: number, factor: number): number {
  return step.lasting ? 0 : count * step.need.processors * getEstimateMs(step) * factor;
}

/** Whether a submission has serving tasks, which run until it is cancelled. */
export function isLasting(submission: Pick<Submission, 'steps'>): boolean {
  return submission.steps.some(step => step.lasting);
}

/** Whether a submission runs at scheduled times. */
export function isTimed(submission: Pick<Submission, 'repetitions'>): boolean {
  return submission.repetitions > 0;
}

/** Returns the time in milliseconds, from its due time, within which one occurrence should be finished. */
export function getObjectiveMs(queue: QueuePolicy, steps: readonly Step[], factor = 1): number {
  return queue.stretchFactor * getCriticalPathMs(steps, factor) + queue.targetLatencyMs;
}

/** Returns the Unix time in milliseconds at which an occurrence is due; 0 means immediately. */
export function getDueMs(submission: Submission, occurrence: number): number {
  if (!isTimed(submission)) return 0;
  if (occurrence >= getOccurrenceCount(submission)) return Number.POSITIVE_INFINITY;
  return submission.startAtMs + occurrence * submission.intervalMs;
}

import {getOccurrenceCount, type Step, type Submission} from './submission.js';

/** Memory in bytes of an owner for a submission, apart from what grows with its steps, as measured on its heap. */
const submissionBytes = 1_600;
/** The same for a submission that has ended, whose id and state are kept for callers. */
export const endedSubmissionBytes = 1_000;
/** Memory for the description of a step, and for a step that it depends on. */
const stepBytes = 150;
const dependencyBytes = 8;
/** Memory for the state of a step of an occurrence: of an open one, and for its finished tasks. */
const openStepBytes = 250;
const finishedStepBytes = 250;
/** Finished tasks that one byte records. */
const tasksPerByte = 8;

/**
 * Largest number of steps of unfinished occurrences of a submission that are open at a time; at least one occurrence is.
 * Occurrences that have all become due at once are opened as earlier ones end.
 */
export const maxOpenSteps = 1_000;

/** Memory in bytes from which a submission is large. */
const largeSubmissionBytes = 16_384;

/** Sizes of submissions; each has a limit of its own, so that a few large ones do not keep out the small ones of others. */
export const submissionSizes = ['small', 'large'] as const;

/** Size of a submission. */
export type SubmissionSize = (typeof submissionSizes)[number];

/** Returns the size of a submission that needs `bytes` of memory. */
export function getSubmissionSize(bytes: number): SubmissionSize {
  return bytes < largeSubmissionBytes ? 'small' : 'large';
}

/**
 * Returns an upper bound of the memory in bytes that the owner needs for a submission while none of its tasks runs. What
 * the runs need is limited by the workers.
 */
export function getSubmissionBytes(
  submission: Pick<Submission, 'spec' | 'steps' | 'repetitions'>,
): number {
  const {spec, steps, repetitions} = submission;
  if (steps.length === 0) return endedSubmissionBytes;
  const occurrences = getOccurrenceCount({repetitions});
  const openOccurrences = steps.some(step => step.lasting)
    ? occurrences
    : Math.min(occurrences, Math.max(1, Math.floor(maxOpenSteps / Math.max(1, steps.length))));
  let bytes = submissionBytes + spec.length;
  for (const step of steps) {
    bytes += getStepBytes(step) + openOccurrences * openStepBytes;
    bytes += occurrences * (finishedStepBytes + step.count / tasksPerByte);
  }
  return Math.ceil(bytes);
}

function getStepBytes({after, label, rack, image}: Step): number {
  const texts = [label, rack, image].reduce((sum, text) => sum + (text?.length ?? 0), 0);
  return stepBytes + texts + after.length * dependencyBytes;
}

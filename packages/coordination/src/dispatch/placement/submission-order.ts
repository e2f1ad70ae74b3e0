import {
  getCriticalPathMs,
  getObjectiveMs,
  getStepWorkCoreMs,
  type QueuePolicy,
} from '../../submissions/index.js';
import {
  compareCost,
  expiredObjectiveMultiple,
  getPreference,
  getSubmissionValue,
  getTaskWork,
  getValueShare,
  type OrderKey,
  type WorkStatistics,
} from '../cost/index.js';
import type {ActiveSubmission} from '../active-submission.js';
import type {DispatchState} from '../dispatch-state.js';
import type {Occurrence} from '../occurrence.js';
import type {StepTasks} from '../step-tasks.js';
import type {RunState} from '../task.js';
import type {PlacementScope} from './round-plan.js';

/** Priority of submissions whose queue is not configured; they go last. */
export const unknownQueuePriority = 1_000;

/** What an occurrence still needs, and what its caller can still get. */
export interface Assessment extends OrderKey {
  /** Number of runs of its tasks. */
  readonly runs: number;
  /** Soft deadline: time by which it should be finished to meet its objective. */
  readonly deadlineAt: number;
  /** Value that its caller can still get, relative to the worth of its queue. */
  readonly value: number;
  /** Work in core-milliseconds that its unfinished tasks still need, by estimates. */
  readonly remainingWork: number;
}

/** An occurrence with waiting tasks, and its sort keys. */
export interface Candidate extends Assessment {
  readonly submission: ActiveSubmission;
  readonly occurrence: Occurrence;
  /** Steps whose predecessors are finished and that have waiting tasks. */
  readonly steps: readonly StepTasks[];
  /** Time since which it has no runs. */
  readonly idleSince: number;
  /** Processor time in core-milliseconds of its unfinished tasks; serving tasks are not counted. */
  readonly remainingCoreMs: number;
}

/** Compares occurrences with waiting tasks; used by experiments in place of the rules. */
export type CandidateOrder = (candidates: Candidate[], at: number) => Candidate[];

/**
 * Returns the occurrences with waiting tasks in scheduling order: by what a delay costs callers if the rules say so,
 * otherwise as follows. Urgent work goes first, so that a flood of other work
 * does not delay it. Within a priority, work that can still meet its objective goes before late work, so that a backlog
 * does not make everything late; then the work that is closest to its end goes first, so that a few submissions that
 * take minutes do not delay the many that take seconds, and started work is finished.
 */
export function sortCandidates(
  state: DispatchState,
  at: number,
  scope: PlacementScope = 'all',
  order?: CandidateOrder,
): Candidate[] {
  const candidates: Candidate[] = [];
  const usesQueueWork = state.usesCost || order !== undefined;
  const factors = new Map<QueuePolicy | undefined, number>();
  const getFactor = (queue: QueuePolicy | undefined) => {
    const factor = factors.get(queue) ?? state.getRunTimeFactor(queue);
    factors.set(queue, factor);
    return factor;
  };
  for (const submission of state.submissions.values()) {
    if (!submission.isActive) continue;
    for (const occurrence of submission.occurrences) {
      const steps = occurrence
        .getReadySteps()
        .filter(step => isInScope(step, scope) && step.hasWaiting(at));
      if (steps.length === 0) continue;
      const candidate = createCandidate(steps, {
        submission,
        occurrence,
        factor: getFactor(submission.queue),
        // Only the orders by cost use it, and each round would compute it for every candidate.
        queueWork: usesQueueWork ? state.queueWork.get(submission.submission.queue) : undefined,
        at,
      });
      if (candidate.lateness > 0) state.recordOutcome(submission, at, true);
      candidates.push(candidate);
    }
  }
  if (order !== undefined) return order(candidates, at);
  return candidates.sort(state.usesCost ? compareCost : compareUrgency);
}

function compareUrgency(a: Candidate, b: Candidate): number {
  return (
    a.priority - b.priority ||
    a.lateness - b.lateness ||
    a.remainingCoreMs - b.remainingCoreMs ||
    a.deadlineAt - b.deadlineAt
  );
}

function isInScope({step}: StepTasks, scope: PlacementScope): boolean {
  return scope === 'all' || !step.fills;
}

/** Options of `assessOccurrence`. */
export interface AssessmentOptions {
  readonly submission: ActiveSubmission;
  readonly occurrence: Occurrence;
  /** Learned ratio of actual to estimated run times. */
  readonly factor: number;
  /** What was learned of the work of the queue's submissions. */
  readonly queueWork: WorkStatistics | undefined;
  readonly at: number;
}

function createCandidate(steps: readonly StepTasks[], options: AssessmentOptions): Candidate {
  const {submission, occurrence, factor, at} = options;
  const assessment = assessOccurrence(options);
  occurrence.recordRuns(assessment.runs, at);
  return {
    ...assessment,
    submission,
    occurrence,
    steps,
    idleSince: occurrence.idleSince,
    remainingCoreMs: getRemainingCoreMs(occurrence, factor),
  };
}

/** Assesses an occurrence by the estimated run times and its progress. */
export function assessOccurrence(options: AssessmentOptions): Assessment {
  const {submission, occurrence, factor, queueWork, at} = options;
  const {queue} = submission;
  const {steps} = submission.submission;
  const objectiveMs = queue
    ? getObjectiveMs(queue, steps, factor)
    : getCriticalPathMs(steps, factor);
  const remainingMs = getCriticalPathMs(
    steps,
    factor,
    step => occurrence.steps[step]?.isFinished ?? false,
  );
  const deadlineAt = occurrence.dueAt + objectiveMs;
  const expectedEndAt = at + remainingMs;
  let lateness: Candidate['lateness'] = 0;
  if (!submission.isLasting && expectedEndAt > deadlineAt) {
    lateness = expectedEndAt > occurrence.dueAt + expiredObjectiveMultiple * objectiveMs ? 2 : 1;
  }
  const usefulUntil =
    lateness === 0 ? deadlineAt : occurrence.dueAt + expiredObjectiveMultiple * objectiveMs;
  const {runs, work: remainingWork} = summarizeRemaining(occurrence);
  const value = getSubmissionValue(submission.work, queueWork) * getValueShare(lateness);
  const preference = queueWork ? getPreference(submission.id, submission.work, queueWork) : 1;
  return {
    runs,
    priority: queue?.priority ?? unknownQueuePriority,
    lateness,
    deadlineAt,
    value,
    remainingWork,
    density: submission.isLasting
      ? Number.POSITIVE_INFINITY
      : (preference * value) / Math.max(1, remainingWork),
    slackMs: usefulUntil - expectedEndAt,
  };
}

/**
 * Returns the number of runs of an occurrence's tasks, and the work in core-milliseconds that its unfinished tasks still
 * need, by estimates and by the progress of the runs.
 */
export function summarizeRemaining(occurrence: Occurrence): {
  readonly runs: number;
  readonly work: number;
} {
  let runCount = 0;
  let work = 0;
  for (const {step, unfinishedCount, knownTasks} of occurrence.steps) {
    let tasks = unfinishedCount;
    for (const {runs, isFinished} of knownTasks) {
      runCount += runs.length;
      if (runs.length === 0 || isFinished) continue;
      let percent = 0;
      for (const run of runs) percent = Math.max(percent, run.percent);
      tasks -= percent / 100;
    }
    work += tasks * getTaskWork(step);
  }
  return {runs: runCount, work};
}

/** Returns the number of runs of an occurrence's tasks, all of them or those in one state. */
export function countRuns(occurrence: Occurrence, state?: RunState): number {
  let count = 0;
  for (const {knownTasks} of occurrence.steps) {
    for (const {runs} of knownTasks) {
      for (const run of runs) if (state === undefined || run.state === state) count += 1;
    }
  }
  return count;
}

/** Returns the processor time in core-milliseconds of the unfinished tasks; serving tasks are not counted. */
export function getRemainingCoreMs(occurrence: Occurrence, factor: number): number {
  let sum = 0;
  for (const {step, unfinishedCount} of occurrence.steps) {
    sum += getStepWorkCoreMs(step, unfinishedCount, factor);
  }
  return sum;
}

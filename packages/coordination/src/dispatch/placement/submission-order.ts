import {
  getCriticalPathMs,
  getObjectiveMs,
  getStepWorkCoreMs,
  type QueuePolicy,
} from '../../submissions/index.js';
import type {ActiveSubmission} from '../active-submission.js';
import type {DispatchState} from '../dispatch-state.js';
import type {Occurrence} from '../occurrence.js';
import type {StepTasks} from '../step-tasks.js';
import type {RunState} from '../task.js';
import type {PlacementScope} from './round-plan.js';

/** Priority of submissions whose queue is not configured; they go last. */
const unknownQueuePriority = 1_000;

/** Multiple of the objective after which a result is of no use to the caller. */
const expiredObjectiveMultiple = 3;

/** An occurrence with waiting tasks, and its sort keys. */
export interface Candidate {
  readonly submission: ActiveSubmission;
  readonly occurrence: Occurrence;
  /** Steps whose predecessors are finished and that have waiting tasks. */
  readonly steps: readonly StepTasks[];
  readonly priority: number;
  /** `0`: can still meet its objective; `1`: late; `2`: too late to be of use to the caller. */
  readonly lateness: 0 | 1 | 2;
  /** Number of runs of its tasks. */
  readonly runs: number;
  /** Time since which it has no runs. */
  readonly idleSince: number;
  /** Processor time in core-milliseconds of its unfinished tasks; serving tasks are not counted. */
  readonly remainingCoreMs: number;
  /** Soft deadline: time by which it should be finished to meet its objective. */
  readonly deadlineAt: number;
}

/**
 * Returns the occurrences with waiting tasks in scheduling order. Urgent work goes first, so that a flood of other work
 * does not delay it. Within a priority, work that can still meet its objective goes before late work, so that a backlog
 * does not make everything late; then the work that is closest to its end goes first, so that a few submissions that
 * take minutes do not delay the many that take seconds, and started work is finished.
 */
export function sortCandidates(
  state: DispatchState,
  at: number,
  scope: PlacementScope = 'all',
): Candidate[] {
  const candidates: Candidate[] = [];
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
      candidates.push(
        createCandidate({submission, occurrence, steps, factor: getFactor(submission.queue), at}),
      );
    }
  }
  return candidates.sort(
    (a, b) =>
      a.priority - b.priority ||
      a.lateness - b.lateness ||
      a.remainingCoreMs - b.remainingCoreMs ||
      a.deadlineAt - b.deadlineAt,
  );
}

function isInScope({step}: StepTasks, scope: PlacementScope): boolean {
  return scope === 'all' || !step.fills;
}

function createCandidate(options: {
  readonly submission: ActiveSubmission;
  readonly occurrence: Occurrence;
  readonly steps: readonly StepTasks[];
  /** Learned ratio of actual to estimated run times. */
  readonly factor: number;
  readonly at: number;
}): Candidate {
  const {submission, occurrence, factor, at} = options;
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
  const runs = countRuns(occurrence);
  occurrence.recordRuns(runs, at);
  return {
    submission,
    occurrence,
    steps: options.steps,
    runs,
    idleSince: occurrence.idleSince,
    priority: queue?.priority ?? unknownQueuePriority,
    lateness,
    remainingCoreMs: getRemainingCoreMs(occurrence, factor),
    deadlineAt,
  };
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

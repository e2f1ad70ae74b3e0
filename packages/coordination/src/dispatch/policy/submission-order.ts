import {getCriticalPathMs, getObjectiveMs} from '../../submissions/index.js';
import type {ActiveSubmission, Occurrence} from '../active-submission.js';
import type {DispatchState} from '../dispatch-state.js';

/** Priority that is assumed for a queue without terms. */
const unknownQueuePriority = 1_000;

/** Multiple of the objective after which an occurrence is worth nothing to its caller. */
const expiredObjectiveMultiple = 3;

/** An occurrence with open work, and what decides its turn. */
export interface Candidate {
  readonly submission: ActiveSubmission;
  readonly occurrence: Occurrence;
  readonly priority: number;
  /** `0`: can meet its objective; `1`: late; `2`: of no use to its caller any more. */
  readonly lateness: 0 | 1 | 2;
  /** Whether some of its tasks have run; what was begun is finished first. */
  readonly hasStarted: boolean;
  /** Time at which it should be finished. */
  readonly dueAt: number;
}

/**
 * Returns the occurrences with open work in the order in which they are served. It answers a flood of one kind
 * of work: urgent work goes first; within a priority, work that can still meet its objective goes before work
 * that cannot, earliest objective first, so that a backlog does not make everything late.
 */
export function orderCandidates(state: DispatchState, at: number): Candidate[] {
  const candidates: Candidate[] = [];
  for (const submission of state.submissions.values()) {
    if (!submission.isActive) continue;
    for (const occurrence of submission.occurrences) {
      if (!occurrence.isFinished)
        candidates.push(createCandidate(state, submission, occurrence, at));
    }
  }
  return candidates.sort(
    (a, b) =>
      a.priority - b.priority ||
      a.lateness - b.lateness ||
      Number(b.hasStarted) - Number(a.hasStarted) ||
      a.dueAt - b.dueAt,
  );
}

function createCandidate(
  state: DispatchState,
  submission: ActiveSubmission,
  occurrence: Occurrence,
  at: number,
): Candidate {
  const {queue} = submission;
  const {steps} = submission.submission;
  const factor = state.getRunTimeFactor(queue);
  const objectiveMs = queue
    ? getObjectiveMs(queue, steps, factor)
    : getCriticalPathMs(steps, factor);
  const remainingMs = getCriticalPathMs(
    steps,
    factor,
    step => occurrence.steps[step]?.isFinished ?? false,
  );
  const dueAt = occurrence.dueAt + objectiveMs;
  const expectedEndAt = at + remainingMs;
  let lateness: Candidate['lateness'] = 0;
  if (!submission.isLasting && expectedEndAt > dueAt) {
    lateness = expectedEndAt > occurrence.dueAt + expiredObjectiveMultiple * objectiveMs ? 2 : 1;
  }
  return {
    submission,
    occurrence,
    priority: queue?.priority ?? unknownQueuePriority,
    lateness,
    hasStarted: occurrence.steps.some(
      step => step.finished > 0 || step.tasks.some(task => task.runs.length > 0),
    ),
    dueAt,
  };
}

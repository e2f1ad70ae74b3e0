import {
  getCriticalPathMs,
  getObjectiveMs,
  getWorkCoreMs,
  isLasting,
  type Queue,
  type Step,
} from '../../submissions/index.js';
import type {DispatchState} from '../dispatch-state.js';
import type {WorkerView} from '../worker-view.js';
import {urgentReserveShare} from './worker-selector.js';

/** Multiple of the objective up to which late work is accepted, because late results are still useful to callers. */
const maxObjectiveMultiple = 2;

/** Fraction of free processor time that a backlog can use; fragmentation leaves the rest idle. */
const backlogUtilization = 0.85;

/** Average utilization of the processors that serving tasks reserve. */
const servingUtilization = 0.5;
/** Fraction of the unused processors that filling tasks get on workers that also run serving tasks. */
const fillingUtilization = 0.6;

/** Bounds in seconds of the retry delay given to a refused caller. */
const minRetryAfterSeconds = 1;
const maxRetryAfterSeconds = 30;

/** Backlog ahead of new submissions to one queue. */
export interface QueueBacklog {
  readonly queue: string;
  /** Number of accepted, unscheduled submissions none of whose tasks has started. */
  readonly pending: number;
  /**
   * Expected time in milliseconds until all accepted tasks of the same or higher urgency have started; filling and
   * serving tasks are not counted.
   */
  readonly waitMs: number;
  /** The same for filling tasks only. */
  readonly fillWaitMs: number;
  /** Learned ratio of actual to estimated run times. */
  readonly runTimeFactor: number;
  /** Processors of the usable workers of the queue's service. */
  readonly cores: number;
}

/** Decision on a new submission. */
export type AdmissionDecision =
  | {readonly kind: 'accept'}
  | {readonly kind: 'refuse'; readonly retryAfterSeconds: number; readonly waitMs: number};

/** Returns the backlog of each configured queue. */
export function getQueueBacklogs(state: DispatchState, at: number): QueueBacklog[] {
  const {configuration} = state;
  if (configuration === undefined) return [];
  const waitingWork = collectWaitingWork(state);
  const levels: QueueBacklog[] = [];
  for (const queue of configuration.queues.values()) {
    const cores = countUsableCores(state, queue.service, at);
    let workCoreMs = 0;
    let fillWorkCoreMs = 0;
    for (const entry of waitingWork) {
      if (entry.service !== queue.service || entry.priority > queue.priority) continue;
      workCoreMs += entry.workCoreMs;
      fillWorkCoreMs += entry.fillWorkCoreMs;
    }
    const lasting = Math.min(cores, countServingCores(state, queue.service, at));
    // Serving tasks cannot use the cores that are reserved for urgent work.
    const usableCores = Math.max(cores * urgentReserveShare, cores - lasting) * backlogUtilization;
    const fillingCores = (cores - lasting * servingUtilization) * fillingUtilization;
    levels.push({
      queue: queue.key,
      pending: countPending(state, queue.key),
      waitMs: cores > 0 ? workCoreMs / usableCores : 0,
      fillWaitMs: cores > 0 ? fillWorkCoreMs / fillingCores : 0,
      runTimeFactor: state.getRunTimeFactor(queue),
      cores,
    });
  }
  return levels;
}

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

/** Processor time, in core-milliseconds, of the tasks of one submission that have no run yet. */
interface WaitingWork {
  readonly service: string;
  readonly priority: number;
  readonly workCoreMs: number;
  readonly fillWorkCoreMs: number;
}

function collectWaitingWork(state: DispatchState): WaitingWork[] {
  const waitingWork: WaitingWork[] = [];
  for (const submission of state.submissions.values()) {
    if (!submission.isActive) continue;
    const factor = state.getRunTimeFactor(submission.queue);
    let workCoreMs = 0;
    let fillWorkCoreMs = 0;
    for (const occurrence of submission.occurrences) {
      for (const group of occurrence.steps) {
        if (group.step.lasting) continue;
        const waiting = group.tasks.filter(task => !task.isFinished && task.runs.length === 0);
        const stepCoreMs = getWorkCoreMs([{...group.step, count: waiting.length}], factor);
        if (group.step.fills) fillWorkCoreMs += stepCoreMs;
        else workCoreMs += stepCoreMs;
      }
    }
    waitingWork.push({
      service: submission.service,
      priority: submission.queue?.priority ?? 0,
      workCoreMs,
      fillWorkCoreMs,
    });
  }
  return waitingWork;
}

function countUsableCores(state: DispatchState, service: string, at: number): number {
  let cores = 0;
  for (const worker of getUsableWorkers(state, service, at)) cores += worker.capacity.processors;
  return cores;
}

/** Returns the number of cores reserved by running serving tasks. */
function countServingCores(state: DispatchState, service: string, at: number): number {
  let cores = 0;
  for (const worker of getUsableWorkers(state, service, at)) {
    for (const {task} of worker.runs.values()) {
      if (task.step.lasting && !task.step.fills) cores += task.step.need.processors;
    }
  }
  return cores;
}

function getUsableWorkers(state: DispatchState, service: string, at: number): WorkerView[] {
  return [...state.workers.values()].filter(
    worker =>
      worker.description.service === service &&
      !worker.isDraining &&
      at - worker.lastContactAt < state.timing.unreachableMs &&
      !worker.health.isSuspended(at),
  );
}

function countPending(state: DispatchState, queue: string): number {
  let pending = 0;
  for (const submission of state.submissions.values()) {
    if (submission.submission.queue !== queue || !submission.isActive) continue;
    if (!submission.hasStarted && submission.submission.repetitions === 0) pending += 1;
  }
  return pending;
}

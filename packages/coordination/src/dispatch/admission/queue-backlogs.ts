import {
  getSubmissionSize,
  getStepWorkCoreMs,
  isTimed,
  type Queue,
  type SubmissionSize,
} from '../../submissions/index.js';
import type {ActiveSubmission} from '../active-submission.js';
import type {DispatchState} from '../dispatch-state.js';
import {
  type CostBacklogs,
  type CostGroup,
  type EstimatedCores,
  getCostBacklogs,
  type GroupCost,
  type QueueWorkState,
} from './cost-backlogs.js';
import {urgentReserveShare} from '../placement/worker-selector.js';

/** Fraction of free processor time that a backlog can use; fragmentation leaves the rest idle. */
const backlogUtilization = 0.85;

/** Average utilization of the processors that serving tasks reserve. */
const servingUtilization = 0.5;
/** Fraction of the unused processors that filling tasks get on workers that also run serving tasks. */
const fillingUtilization = 0.6;

/** Backlog ahead of new submissions to the queues of one group, which have the same service and priority. */
export interface GroupBacklog {
  readonly group: string;
  /**
   * Expected time in milliseconds until all accepted tasks of the same or higher urgency have started; filling and
   * serving tasks are not counted.
   */
  readonly waitMs: number;
  /** The same for filling tasks only. */
  readonly fillWaitMs: number;
  /** Processors of the usable workers of the service. */
  readonly cores: number;
}

/** What the owner knows of one queue. */
export interface QueueState {
  readonly queue: string;
  /** Number of accepted, unscheduled submissions none of whose tasks has started. */
  readonly pending: number;
  /** Learned ratio of actual to estimated run times. */
  readonly runTimeFactor: number;
}

/** Backlog ahead of new submissions to one queue. */
export type QueueBacklog = Omit<GroupBacklog, 'group'> & Omit<QueueState, 'queue'>;

/** Memory of the owner for accepted submissions of one size. */
export interface MemoryUse {
  /** Memory in bytes that all of them need, also those that are not loaded. */
  readonly usedBytes: number;
  /** Memory in bytes beyond which no more are accepted. */
  readonly maxBytes: number;
}

/** Memory of the owner for accepted submissions, by size. */
export type AcceptedMemory = Readonly<Record<SubmissionSize, MemoryUse>>;

/** Share of the memory that all large submissions together get. */
const largeShare = 0.5;

/** Returns the memory for submissions of each size when there are `maxBytes` for accepted submissions. */
export function getMemoryLimits(maxBytes: number): Readonly<Record<SubmissionSize, number>> {
  return {small: maxBytes, large: maxBytes * largeShare};
}

/** Learned ratio of a queue none of whose tasks has ended. */
const unlearnedFactor = 1;

/** Returns the group of a queue. */
export function getQueueGroup({service, priority}: Pick<Queue, 'service' | 'priority'>): string {
  return `${service}/${priority}`;
}

/** Whether nothing is known of a queue; its state is then left out. */
export function isUnusedQueue({pending, runTimeFactor}: QueueState): boolean {
  return pending === 0 && runTimeFactor === unlearnedFactor;
}

/** Waiting work that new submissions to one queue are compared with. */
export interface QueueCost extends GroupCost {
  /** Undefined before any submission was seen. */
  readonly work: QueueWorkState | undefined;
}

/**
 * The backlogs of all queues. A configuration has thousands of queues, of which few are in use at a time, so only the
 * states of these are kept, and the waits once for each group.
 */
export class QueueBacklogs {
  private readonly groupsByName: ReadonlyMap<string, GroupBacklog>;
  private readonly queuesByName: ReadonlyMap<string, QueueState>;
  private readonly costsByGroup: ReadonlyMap<string, GroupCost>;
  private readonly workByQueue: ReadonlyMap<string, QueueWorkState>;

  constructor(
    readonly groups: readonly GroupBacklog[],
    readonly queues: readonly QueueState[],
    /** Absent from backlogs of owners of older versions. */
    readonly memory?: AcceptedMemory,
    /** Present when the owner schedules by what a delay costs callers. */
    readonly cost?: CostBacklogs,
  ) {
    this.costsByGroup = new Map(cost?.groups.map(group => [group.group, group]));
    this.workByQueue = new Map(cost?.queues.map(queue => [queue.queue, queue]));
    this.groupsByName = new Map(groups.map(group => [group.group, group]));
    this.queuesByName = new Map(queues.map(queue => [queue.queue, queue]));
  }

  /** Returns the backlog of a queue, or undefined when the owner has no configuration with its group. */
  get(queue: Queue): QueueBacklog | undefined {
    const group = this.groupsByName.get(getQueueGroup(queue));
    if (group === undefined) return undefined;
    const {pending = 0, runTimeFactor = unlearnedFactor} = this.queuesByName.get(queue.key) ?? {};
    const {waitMs, fillWaitMs, cores} = group;
    return {pending, waitMs, fillWaitMs, runTimeFactor, cores};
  }

  /** Returns the waiting work that new submissions to a queue are compared with, if the owner has published it. */
  getCost(queue: Queue): QueueCost | undefined {
    const group = this.costsByGroup.get(getQueueGroup(queue));
    return group && {...group, work: this.workByQueue.get(queue.key)};
  }
}

/** Returns the backlogs, in one pass over the submissions and one over the workers. */
export function getQueueBacklogs(state: DispatchState, at: number): QueueBacklogs {
  const {configuration} = state;
  const memory = getAcceptedMemory(state);
  if (configuration === undefined) return new QueueBacklogs([], [], memory);
  const waiting = collectWaitingWork(state);
  const capacities = collectCapacities(state, at);
  const groups = new Map<string, GroupBacklog>();
  const costGroups: CostGroup[] = [];
  for (const queue of configuration.queues.values()) {
    const group = getQueueGroup(queue);
    if (groups.has(group)) continue;
    const capacity = capacities.get(queue.service) ?? noCapacity;
    const usableCores = getUsableCores(capacity);
    const waits = getWaits(queue, waiting.levels.get(queue.service), capacity, usableCores);
    groups.set(group, {group, ...waits});
    const {service, priority} = queue;
    costGroups.push({group, service, priority, cores: usableCores});
  }
  const queues = new Set([...waiting.pending.keys(), ...state.learnedQueues]);
  return new QueueBacklogs(
    [...groups.values()],
    [...queues].map(queue => ({
      queue,
      pending: waiting.pending.get(queue) ?? 0,
      runTimeFactor: state.getRunTimeFactor(configuration.queues.get(queue)),
    })),
    memory,
    ...(state.usesCost ? [getCostBacklogs(state, costGroups, at)] : []),
  );
}

function getAcceptedMemory({submissions, deferred, timing}: DispatchState): AcceptedMemory {
  const used: Record<SubmissionSize, number> = {small: 0, large: 0};
  for (const {bytes} of submissions.values()) used[getSubmissionSize(bytes)] += bytes;
  for (const {bytes} of deferred.values()) used[getSubmissionSize(bytes)] += bytes;
  const limits = getMemoryLimits(timing.maxAcceptedBytes);
  return {
    small: {usedBytes: used.small, maxBytes: limits.small},
    large: {usedBytes: used.large, maxBytes: limits.large},
  };
}

function getWaits(
  {priority}: Queue,
  levels: ReadonlyMap<number, WaitingLevel> | undefined,
  {cores}: ServiceCapacity,
  usableCores: EstimatedCores,
): Omit<GroupBacklog, 'group'> {
  let workCoreMs = 0;
  let fillWorkCoreMs = 0;
  for (const level of levels?.values() ?? []) {
    if (level.priority > priority) continue;
    workCoreMs += level.workCoreMs;
    fillWorkCoreMs += level.fillWorkCoreMs;
  }
  return {
    waitMs: cores > 0 ? workCoreMs / usableCores.reserving : 0,
    fillWaitMs: cores > 0 ? fillWorkCoreMs / usableCores.filling : 0,
    cores,
  };
}

function getUsableCores({cores, servingCores}: ServiceCapacity): EstimatedCores {
  const serving = Math.min(cores, servingCores);
  return {
    // Serving tasks cannot use the cores that are reserved for urgent work.
    reserving: Math.max(cores * urgentReserveShare, cores - serving) * backlogUtilization,
    filling: (cores - serving * servingUtilization) * fillingUtilization,
  };
}

/** Returns the number of accepted, unscheduled submissions of a queue none of whose tasks has started. */
export function countPendingSubmissions(state: DispatchState, queue: string): number {
  let pending = 0;
  for (const submission of state.submissions.values()) {
    if (submission.submission.queue === queue && isPending(submission)) pending += 1;
  }
  for (const {submission, hasStarted} of state.deferred.values()) {
    if (submission.queue === queue && !hasStarted && !isTimed(submission)) pending += 1;
  }
  return pending;
}

function isPending({isActive, hasStarted, submission}: ActiveSubmission): boolean {
  return isActive && !hasStarted && !isTimed(submission);
}

/** Processor time, in core-milliseconds, of the tasks of one priority that have no run yet. */
interface WaitingLevel {
  readonly priority: number;
  workCoreMs: number;
  fillWorkCoreMs: number;
}

interface WaitingWork {
  /** Waiting work by service, then by priority. */
  readonly levels: ReadonlyMap<string, ReadonlyMap<number, WaitingLevel>>;
  /** Number of pending submissions, by queue key. */
  readonly pending: ReadonlyMap<string, number>;
}

function collectWaitingWork(state: DispatchState): WaitingWork {
  const levels = new Map<string, Map<number, WaitingLevel>>();
  const pending = new Map<string, number>();
  for (const submission of state.submissions.values()) {
    if (!submission.isActive) continue;
    const queueKey = submission.submission.queue;
    if (isPending(submission)) pending.set(queueKey, (pending.get(queueKey) ?? 0) + 1);
    const priority = submission.queue?.priority ?? 0;
    const serviceLevels = levels.get(submission.service) ?? new Map<number, WaitingLevel>();
    levels.set(submission.service, serviceLevels);
    const level = serviceLevels.get(priority) ?? {priority, workCoreMs: 0, fillWorkCoreMs: 0};
    serviceLevels.set(priority, level);
    addWaitingWork(level, submission, state.getRunTimeFactor(submission.queue));
  }
  for (const {submission, hasStarted} of state.deferred.values()) {
    if (hasStarted || isTimed(submission)) continue;
    pending.set(submission.queue, (pending.get(submission.queue) ?? 0) + 1);
  }
  return {levels, pending};
}

function addWaitingWork(level: WaitingLevel, submission: ActiveSubmission, factor: number): void {
  for (const occurrence of submission.occurrences) {
    for (const {step, isFinished, idleCount: count} of occurrence.steps) {
      if (step.lasting || isFinished || count === 0) continue;
      const coreMs = getStepWorkCoreMs(step, count, factor);
      if (step.fills) level.fillWorkCoreMs += coreMs;
      else level.workCoreMs += coreMs;
    }
  }
}

/** Processors of the usable workers of one service. */
interface ServiceCapacity {
  cores: number;
  /** Processors that running serving tasks reserve, also those that are to move from evacuated workers. */
  servingCores: number;
}

const noCapacity: ServiceCapacity = {cores: 0, servingCores: 0};

function collectCapacities(state: DispatchState, at: number): ReadonlyMap<string, ServiceCapacity> {
  const capacities = new Map<string, ServiceCapacity>();
  for (const worker of state.workers.values()) {
    const isReachable = at - worker.lastContactAt < state.timing.unreachableMs;
    if (worker.isDraining || !isReachable || worker.health.isSuspended(at)) continue;
    const {service} = worker.description;
    const capacity = capacities.get(service) ?? {cores: 0, servingCores: 0};
    capacities.set(service, capacity);
    // Nothing starts on an evacuated worker, and its serving tasks will need room on the others.
    if (!state.isEvacuated(worker)) capacity.cores += worker.capacity.processors;
    for (const {task} of worker.runs.values()) {
      if (task.step.lasting && !task.step.fills) {
        capacity.servingCores += task.step.need.processors;
      }
    }
  }
  return capacities;
}

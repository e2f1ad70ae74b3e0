import {getStepWorkCoreMs} from '../../submissions/index.js';
import {
  createWaitingCurve,
  type WorkStatistics,
  type WaitingCurve,
  type WaitingItem,
  type WorkKind,
  workKinds,
} from '../cost/index.js';
import type {DispatchState} from '../dispatch-state.js';
import type {Occurrence} from '../occurrence.js';
import {assessOccurrence, unknownQueuePriority} from '../placement/submission-order.js';

/** Waiting work that new submissions to the queues of one group are compared with. */
export interface GroupCost {
  readonly group: string;
  readonly reserving: WaitingCurve;
  readonly filling: WaitingCurve;
}

/** What the owner has learned of the work of a queue. */
export interface QueueWorkState extends WorkStatistics {
  readonly queue: string;
}

/** What entries need to decide on new submissions by what a delay costs callers. */
export interface CostBacklogs {
  readonly groups: readonly GroupCost[];
  readonly queues: readonly QueueWorkState[];
}

/** Processors that each kind of work of a service gets, by estimates. */
export type EstimatedCores = Readonly<Record<WorkKind, number>>;

/** A group of queues, which have the same service and priority. */
export interface CostGroup {
  readonly group: string;
  readonly service: string;
  readonly priority: number;
  readonly cores: EstimatedCores;
}

/** Waiting work of one kind, service and priority. */
interface WaitingLevel {
  readonly service: string;
  readonly priority: number;
  readonly kind: WorkKind;
  readonly items: WaitingItem[];
  /** Processor time in core-milliseconds of all of it, also of late work. */
  coreMs: number;
}

/** Returns what entries need for the groups, and measures the throughput of filling tasks. */
export function getCostBacklogs(
  state: DispatchState,
  groups: readonly CostGroup[],
  at: number,
): CostBacklogs {
  const levels = collectLevels(state, at);
  const saturated = collectSaturatedServices(state, at);
  const services = new Set(groups.map(({service}) => service));
  for (const service of services) {
    state.fillingThroughput.sample(service, saturated.has(service), at);
  }
  return {
    groups: groups.map(group => ({
      group: group.group,
      reserving: createCurve(levels, group, 'reserving', group.cores.reserving),
      filling: createCurve(levels, group, 'filling', getFillingCores(state, group)),
    })),
    queues: state.queueWork.getAll().map(([queue, work]) => ({queue, ...work})),
  };
}

/** Returns the processors that filling tasks get: as measured while they wait for room, otherwise as estimated. */
function getFillingCores(state: DispatchState, {service, cores}: CostGroup): number {
  return cores.filling > 0
    ? (state.fillingThroughput.getCores(service) ?? cores.filling)
    : cores.filling;
}

function createCurve(
  levels: readonly WaitingLevel[],
  {service, priority}: CostGroup,
  kind: WorkKind,
  cores: number,
): WaitingCurve {
  let urgentCoreMs = 0;
  let items: readonly WaitingItem[] = [];
  for (const level of levels) {
    if (level.service !== service || level.kind !== kind) continue;
    if (level.priority < priority) urgentCoreMs += level.coreMs;
    else if (level.priority === priority) items = level.items;
  }
  return createWaitingCurve({cores, urgentCoreMs, items});
}

function collectLevels(state: DispatchState, at: number): WaitingLevel[] {
  const levels = new Map<string, WaitingLevel>();
  const factors = new Map<string, number>();
  for (const submission of state.submissions.values()) {
    if (!submission.isActive || submission.isLasting) continue;
    const {queue, service} = submission;
    const {queue: queueKey} = submission.submission;
    const factor = factors.get(queueKey) ?? state.getRunTimeFactor(queue);
    factors.set(queueKey, factor);
    const priority = queue?.priority ?? unknownQueuePriority;
    const queueWork = state.queueWork.get(queueKey);
    for (const occurrence of submission.occurrences) {
      const waiting = getWaitingCoreMs(occurrence, factor);
      if (waiting.reserving + waiting.filling <= 0) continue;
      const assessment = assessOccurrence({submission, occurrence, factor, queueWork, at});
      for (const kind of workKinds) {
        if (waiting[kind] <= 0) continue;
        const key = `${service}/${priority}/${kind}`;
        const level = levels.get(key) ?? {service, priority, kind, items: [], coreMs: 0};
        levels.set(key, level);
        level.coreMs += waiting[kind];
        // New work goes before late work of its priority.
        if (assessment.lateness > 0) continue;
        const {density, value, slackMs} = assessment;
        level.items.push({density, value, slackMs, coreMs: waiting[kind]});
      }
    }
  }
  return [...levels.values()];
}

/** Returns the processor time of the tasks without a run, in core-milliseconds. */
function getWaitingCoreMs({steps}: Occurrence, factor: number): Record<WorkKind, number> {
  const waiting = {reserving: 0, filling: 0};
  for (const {step, isFinished, idleCount} of steps) {
    if (isFinished || idleCount === 0) continue;
    waiting[step.fills ? 'filling' : 'reserving'] += getStepWorkCoreMs(step, idleCount, factor);
  }
  return waiting;
}

/** Returns the services in which filling tasks that could start find no room. */
function collectSaturatedServices(state: DispatchState, at: number): ReadonlySet<string> {
  const services = new Set<string>();
  for (const submission of state.submissions.values()) {
    if (!submission.isActive || services.has(submission.service)) continue;
    const isWaiting = submission.occurrences.some(occurrence =>
      occurrence.getReadySteps().some(step => step.step.fills && step.hasWaiting(at)),
    );
    if (isWaiting) services.add(submission.service);
  }
  return services;
}

import type {
  CostBacklogs,
  GroupCost,
  QueueWorkState,
  WaitingCurve,
} from '@chervilbeam/coordination';

/** Waits are sent in hundredths of a second, values and shares in hundredths: small integers keep the messages short. */
const msPerUnit = 10;
const unitsPerOne = 100;

/** Numbers of a curve apart from its points, and of one point. */
const curveNumbers = 2;
const pointNumbers = 3;

/** Name of a group, number of points of its curve of reserving work, and both curves; the name alone when it is gone. */
export type GroupCostRow = readonly [string, ...number[]];

/**
 * Key of a queue, mean work, work of its two largest size classes (0 when unknown), and the percentages of these that are
 * preferred; the key alone when nothing is known any more.
 */
export type QueueWorkRow = readonly [string, ...number[]];

/** What entries need to decide on new submissions by what a delay costs callers; a difference like the other rows. */
export interface CostRows {
  readonly groups: readonly GroupCostRow[];
  readonly queues: readonly QueueWorkRow[];
}

/** Returns the rows of all groups and queues by name. */
export function toCostRows(cost: CostBacklogs | undefined): {
  readonly groups: Map<string, GroupCostRow>;
  readonly queues: Map<string, QueueWorkRow>;
} {
  return {
    groups: new Map(cost?.groups.map(group => [group.group, toGroupRow(group)])),
    queues: new Map(cost?.queues.map(queue => [queue.queue, toQueueRow(queue)])),
  };
}

/** Returns the costs of a group, or undefined for a row that removes it. */
export function fromGroupRow([group, count, ...numbers]: GroupCostRow): GroupCost | undefined {
  if (count === undefined) return undefined;
  const length = curveNumbers + count * pointNumbers;
  return {
    group,
    reserving: fromCurveNumbers(numbers.slice(0, length)),
    filling: fromCurveNumbers(numbers.slice(length)),
  };
}

/** Returns what is known of a queue, or undefined for a row that removes it. */
export function fromQueueRow([queue, ...numbers]: QueueWorkRow): QueueWorkState | undefined {
  const [meanWork, largeWork, largestWork, largeShare = 0, largestShare = 0] = numbers;
  if (meanWork === undefined) return undefined;
  return {
    queue,
    meanWork,
    largeWork: largeWork || Number.POSITIVE_INFINITY,
    largestWork: largestWork || Number.POSITIVE_INFINITY,
    largeShare: largeShare / unitsPerOne,
    largestShare: largestShare / unitsPerOne,
  };
}

function toGroupRow({group, reserving, filling}: GroupCost): GroupCostRow {
  const count = reserving.points.length;
  return [group, count, ...toCurveNumbers(reserving), ...toCurveNumbers(filling)];
}

function toCurveNumbers({cores, urgentWaitMs, points}: WaitingCurve): number[] {
  const numbers = [Math.round(cores), Math.round(urgentWaitMs / msPerUnit)];
  for (const {rank, waitMs, lossPerSecond} of points) {
    numbers.push(rank, Math.round(waitMs / msPerUnit), Math.round(lossPerSecond * unitsPerOne));
  }
  return numbers;
}

function fromCurveNumbers([cores = 0, urgentWait = 0, ...rest]: readonly number[]): WaitingCurve {
  const points: Array<WaitingCurve['points'][number]> = [];
  for (let i = 0; i + pointNumbers <= rest.length; i += pointNumbers) {
    const [rank = 0, wait = 0, loss = 0] = rest.slice(i, i + pointNumbers);
    points.push({rank, waitMs: wait * msPerUnit, lossPerSecond: loss / unitsPerOne});
  }
  return {cores, urgentWaitMs: urgentWait * msPerUnit, points};
}

function toQueueRow(state: QueueWorkState): QueueWorkRow {
  const {queue, meanWork, largeWork, largestWork, largeShare, largestShare} = state;
  return [
    queue,
    Math.round(meanWork),
    toFinite(largeWork),
    toFinite(largestWork),
    Math.round(largeShare * unitsPerOne),
    Math.round(largestShare * unitsPerOne),
  ];
}

function toFinite(work: number): number {
  return Number.isFinite(work) ? Math.round(work) : 0;
}

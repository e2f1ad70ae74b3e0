import {
  type AcceptedMemory,
  type CostBacklogs,
  type GroupBacklog,
  type GroupCost,
  isUnusedQueue,
  QueueBacklogs,
  type QueueState,
  type QueueWorkState,
} from '@chervilbeam/coordination';
import {type CostRows, fromGroupRow, fromQueueRow, toCostRows} from './cost-rows.js';

/** Run time factors are sent in thousandths, as small integers. */
const factorUnitsPerOne = 1_000;

/** Name, `waitMs`, `fillWaitMs` and `cores` of a group; the name alone when the group is no longer configured. */
export type BacklogGroupRow = readonly [string, number, number, number] | readonly [string];

/** Key of a queue, `pending`, and the run time factor in thousandths. */
export type BacklogQueueRow = readonly [string, number, number];

/** Difference between the backlogs and those of the previous message on the same link. */
export interface BacklogMessage {
  readonly kind: 'queue-backlogs';
  readonly groups: readonly BacklogGroupRow[];
  readonly queues: readonly BacklogQueueRow[];
  /**
   * Used and largest memory in bytes for accepted submissions, first for small and then for large ones; absent from messages
   * of older versions.
   */
  readonly memory?: readonly [number, number, number, number];
  /** Absent when the owner does not schedule by what a delay costs, and from messages of older versions. */
  readonly cost?: CostRows;
}

/**
 * Encodes the owner's backlogs for the other entries. All links that are up to date get the same message, so that its
 * cost does not grow with their number.
 */
export class BacklogEncoder {
  private groups = new Map<string, BacklogGroupRow>();
  private queues = new Map<string, BacklogQueueRow>();
  private memory: BacklogMessage['memory'];
  private cost: ReturnType<typeof toCostRows> | undefined;

  /** Returns the message for the links that have got all previous ones. */
  update(backlogs: QueueBacklogs): BacklogMessage {
    const groups = new Map(backlogs.groups.map(group => [group.group, toGroupRow(group)]));
    const queues = new Map(backlogs.queues.map(queue => [queue.queue, toQueueRow(queue)]));
    const memory = toMemoryRow(backlogs.memory);
    const cost = backlogs.cost && toCostRows(backlogs.cost);
    const message: BacklogMessage = {
      kind: 'queue-backlogs',
      groups: getChanges(this.groups, groups, group => [group]),
      queues: getChanges(this.queues, queues, queue => [queue, 0, factorUnitsPerOne]),
      ...(memory && {memory}),
      ...(cost && {
        cost: {
          groups: getChanges(this.cost?.groups, cost.groups, group => [group]),
          queues: getChanges(this.cost?.queues, cost.queues, queue => [queue]),
        },
      }),
    };
    this.cost = cost;
    this.memory = memory;
    this.groups = groups;
    this.queues = queues;
    return message;
  }

  /** Returns the first message for a new link. */
  getSnapshot(): BacklogMessage {
    return {
      kind: 'queue-backlogs',
      groups: [...this.groups.values()],
      queues: [...this.queues.values()],
      ...(this.memory && {memory: this.memory}),
      ...(this.cost && {
        cost: {groups: [...this.cost.groups.values()], queues: [...this.cost.queues.values()]},
      }),
    };
  }
}

/** Decodes the messages on one link; they must arrive complete and in order. */
export class BacklogDecoder {
  private readonly groups = new Map<string, GroupBacklog>();
  private readonly queues = new Map<string, QueueState>();
  private readonly costs = new Map<string, GroupCost>();
  private readonly works = new Map<string, QueueWorkState>();

  /** Applies a message and returns the backlogs of all queues. */
  decode(message: BacklogMessage): QueueBacklogs {
    for (const [group, waitMs, fillWaitMs, cores] of message.groups) {
      if (waitMs === undefined || fillWaitMs === undefined || cores === undefined) {
        this.groups.delete(group);
      } else this.groups.set(group, {group, waitMs, fillWaitMs, cores});
    }
    for (const [queue, pending, factor] of message.queues) {
      const state = {queue, pending, runTimeFactor: factor / factorUnitsPerOne};
      if (isUnusedQueue(state)) this.queues.delete(queue);
      else this.queues.set(queue, state);
    }
    const memory = message.memory && fromMemoryRow(message.memory);
    return new QueueBacklogs(
      [...this.groups.values()],
      [...this.queues.values()],
      memory,
      this.decodeCost(message.cost),
    );
  }

  private decodeCost(rows: CostRows | undefined): CostBacklogs | undefined {
    if (rows === undefined) return undefined;
    for (const row of rows.groups) replace(this.costs, row[0], fromGroupRow(row));
    for (const row of rows.queues) replace(this.works, row[0], fromQueueRow(row));
    return {groups: [...this.costs.values()], queues: [...this.works.values()]};
  }
}

function replace<Value>(map: Map<string, Value>, name: string, value: Value | undefined): void {
  if (value === undefined) map.delete(name);
  else map.set(name, value);
}

function toGroupRow({group, waitMs, fillWaitMs, cores}: GroupBacklog): BacklogGroupRow {
  return [group, Math.round(waitMs), Math.round(fillWaitMs), cores];
}

/** Without a limit there is nothing to tell. */
function toMemoryRow(memory: AcceptedMemory | undefined): BacklogMessage['memory'] {
  if (memory === undefined || !Number.isFinite(memory.small.maxBytes)) return undefined;
  const {small, large} = memory;
  return [small.usedBytes, Math.floor(small.maxBytes), large.usedBytes, Math.floor(large.maxBytes)];
}

function fromMemoryRow(row: NonNullable<BacklogMessage['memory']>): AcceptedMemory {
  const [smallBytes, maxSmallBytes, largeBytes, maxLargeBytes] = row;
  return {
    small: {usedBytes: smallBytes, maxBytes: maxSmallBytes},
    large: {usedBytes: largeBytes, maxBytes: maxLargeBytes},
  };
}

function toQueueRow({queue, pending, runTimeFactor}: QueueState): BacklogQueueRow {
  return [queue, pending, Math.round(runTimeFactor * factorUnitsPerOne)];
}

/** Returns the rows that are new or have changed, and a row from `remove` for each that is gone. */
function getChanges<Row extends readonly unknown[]>(
  previous: ReadonlyMap<string, Row> | undefined,
  current: ReadonlyMap<string, Row>,
  remove: (name: string) => Row,
): Row[] {
  const changes: Row[] = [];
  for (const [name, row] of current) {
    const previousRow = previous?.get(name);
    const isSame =
      previousRow?.length === row.length &&
      row.every((value, index) => value === previousRow[index]);
    if (!isSame) changes.push(row);
  }
  for (const name of previous?.keys() ?? []) if (!current.has(name)) changes.push(remove(name));
  return changes;
}

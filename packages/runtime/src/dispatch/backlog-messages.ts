import type {QueueBacklog} from '@chervilbeam/coordination';

/** Run time factors are sent in thousandths, as small integers. */
const factorUnitsPerOne = 1_000;

/** Waits and processors of the queues of one group: number of the group, `waitMs`, `fillWaitMs`, `cores`. */
export type BacklogGroupRow = readonly [number, number, number, number];

/** A queue: its number, number of its group, `pending`, and the run time factor in thousandths. */
export type BacklogQueueRow = readonly [number, number, number, number];

/** Difference between the backlogs of all queues and those of the previous message on the same link. */
export interface BacklogMessage {
  readonly kind: 'backlogs';
  /** Keys of the queues that are new on this link, by number. */
  readonly keys: ReadonlyArray<readonly [number, string]>;
  readonly groups: readonly BacklogGroupRow[];
  readonly queues: readonly BacklogQueueRow[];
  /** Numbers of the queues that are no longer configured. */
  readonly removed: readonly number[];
}

/** Encodes backlogs for one link. A message contains only what has changed since the previous one. */
export class BacklogEncoder {
  private readonly queueNumbers = new Map<string, number>();
  private readonly groupNumbers = new Map<string, number>();
  private readonly sentRows = new Map<string, string>();
  private nextQueueNumber = 0;

  /** Returns the message for the current backlogs. */
  encode(backlogs: readonly QueueBacklog[]): BacklogMessage {
    const keys: Array<readonly [number, string]> = [];
    const groups: BacklogGroupRow[] = [];
    const queues: BacklogQueueRow[] = [];
    const current = new Set<string>();
    for (const backlog of backlogs) {
      current.add(backlog.queue);
      const group = this.getGroupNumber(backlog.group);
      const {pending, waitMs, fillWaitMs, runTimeFactor, cores} = backlog;
      const groupRow = [group, Math.round(waitMs), Math.round(fillWaitMs), cores] as const;
      if (this.hasChanged(`group ${group}`, groupRow)) groups.push(groupRow);
      let queue = this.queueNumbers.get(backlog.queue);
      if (queue === undefined) {
        queue = this.nextQueueNumber++;
        this.queueNumbers.set(backlog.queue, queue);
        keys.push([queue, backlog.queue]);
      }
      const factor = Math.round(runTimeFactor * factorUnitsPerOne);
      const queueRow = [queue, group, pending, factor] as const;
      if (this.hasChanged(`queue ${queue}`, queueRow)) queues.push(queueRow);
    }
    return {kind: 'backlogs', keys, groups, queues, removed: this.removeOthers(current)};
  }

  private getGroupNumber(group: string): number {
    const known = this.groupNumbers.get(group);
    if (known !== undefined) return known;
    const number = this.groupNumbers.size;
    this.groupNumbers.set(group, number);
    return number;
  }

  private hasChanged(name: string, row: readonly number[]): boolean {
    const text = row.join();
    if (this.sentRows.get(name) === text) return false;
    this.sentRows.set(name, text);
    return true;
  }

  private removeOthers(current: ReadonlySet<string>): number[] {
    const removed: number[] = [];
    for (const [key, number] of this.queueNumbers) {
      if (current.has(key)) continue;
      removed.push(number);
      this.queueNumbers.delete(key);
      this.sentRows.delete(`queue ${number}`);
    }
    return removed;
  }
}

/** Decodes the messages of one `BacklogEncoder`; they must arrive complete and in order. */
export class BacklogDecoder {
  private readonly keys = new Map<number, string>();
  private readonly groups = new Map<number, BacklogGroupRow>();
  private readonly queues = new Map<number, BacklogQueueRow>();

  /** Applies a message and returns the backlogs of all queues. */
  decode(message: BacklogMessage): readonly QueueBacklog[] {
    for (const [number, key] of message.keys) this.keys.set(number, key);
    for (const row of message.groups) this.groups.set(row[0], row);
    for (const row of message.queues) this.queues.set(row[0], row);
    for (const number of message.removed) {
      this.keys.delete(number);
      this.queues.delete(number);
    }
    const backlogs: QueueBacklog[] = [];
    for (const [number, group, pending, factor] of this.queues.values()) {
      const queue = this.keys.get(number);
      const groupRow = this.groups.get(group);
      if (queue === undefined || groupRow === undefined) continue;
      const [, waitMs, fillWaitMs, cores] = groupRow;
      const runTimeFactor = factor / factorUnitsPerOne;
      backlogs.push({
        queue,
        group: String(group),
        pending,
        waitMs,
        fillWaitMs,
        runTimeFactor,
        cores,
      });
    }
    return backlogs;
  }
}

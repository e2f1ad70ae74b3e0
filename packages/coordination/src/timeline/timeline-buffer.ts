import {
  matchesFilter,
  toTimelineRecord,
  type PlainRecord,
  type TimelineEvent,
  type TimelineFilter,
  type TimelineRecord,
} from './timeline-event.js';

/** Number of events that a buffer holds by default. */
const defaultCapacity = 20_000;

/** Ring buffer of the latest events of one process. */
export class TimelineBuffer {
  readonly #events: TimelineEvent[] = [];
  #nextIndex = 0;

  constructor(
    private readonly process: string,
    private readonly capacity = defaultCapacity,
  ) {}

  /** Number of buffered events. */
  get size(): number {
    return this.#events.length;
  }

  /** Adds an event. A full buffer drops its oldest event. */
  record(record: TimelineRecord | PlainRecord, stamp: number): void {
    this.#events[this.#nextIndex] = {stamp, process: this.process, ...toTimelineRecord(record)};
    this.#nextIndex = (this.#nextIndex + 1) % this.capacity;
  }

  /** Returns the events that match the filter, oldest first. */
  select(filter: TimelineFilter = {}): TimelineEvent[] {
    const ordered = [
      ...this.#events.slice(this.#nextIndex),
      ...this.#events.slice(0, this.#nextIndex),
    ];
    return ordered.filter(event => matchesFilter(event, filter));
  }
}

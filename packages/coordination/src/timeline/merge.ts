import type {TimelineEvent} from './timeline-event.js';

/** An event that can be merged with those of other processes. */
export interface StampedEvent {
  readonly stamp: number;
  readonly process: string;
}

/**
 * Merges the events of several processes, sorted by stamp; events of one process with equal stamps keep their order.
 * Of events with the same key only the first is kept.
 */
export function mergeEvents<Event extends StampedEvent>(
  sources: ReadonlyArray<readonly Event[]>,
  getKey: (event: Event) => string,
): readonly Event[] {
  const seen = new Set<string>();
  const events = sources.flat().filter(event => {
    const key = getKey(event);
    return !seen.has(key) && seen.add(key);
  });
  return events.sort(
    (a, b) => a.stamp - b.stamp || (a.process < b.process ? -1 : a.process > b.process ? 1 : 0),
  );
}

/** Merges the time lines of several processes, sorted by stamp and without duplicates. */
export function mergeTimelines(
  timelines: ReadonlyArray<readonly TimelineEvent[]>,
): readonly TimelineEvent[] {
  return mergeEvents(
    timelines,
    ({stamp, process, subject, id, step}) => `${stamp} ${process} ${subject} ${id} ${step}`,
  );
}

import type {TimelineEvent} from './timeline-event.js';

/** Merges the events of several processes, sorted by stamp and without duplicates. */
export function mergeTimelines(
  timelines: ReadonlyArray<readonly TimelineEvent[]>,
): readonly TimelineEvent[] {
  const seen = new Set<string>();
  const events = timelines.flat().filter(event => {
    const key = `${event.stamp} ${event.process} ${event.subject} ${event.id} ${event.step}`;
    return !seen.has(key) && seen.add(key);
  });
  return events.sort(
    (a, b) => a.stamp - b.stamp || (a.process < b.process ? -1 : a.process > b.process ? 1 : 0),
  );
}

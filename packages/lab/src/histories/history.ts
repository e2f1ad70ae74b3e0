import type {HistoryEvent, HistoryEventOf} from './history-event.js';

/** Recorded events of one run in time order, with the queries that the checks use. */
export class History {
  readonly events: readonly HistoryEvent[];

  constructor(events: readonly HistoryEvent[]) {
    // The sort is stable, so events with equal times keep the order in which they were recorded.
    this.events = [...events].sort((a, b) => a.at - b.at);
  }

  /** Returns the events of one kind in time order. */
  select<Kind extends HistoryEvent['kind']>(kind: Kind): ReadonlyArray<HistoryEventOf<Kind>> {
    return this.events.filter((event): event is HistoryEventOf<Kind> => event.kind === kind);
  }

  /** Returns the time after which no fault was active; 0 if the history does not record it. */
  getFaultsEndedAt(): number {
    return this.select('faults-over').at(-1)?.at ?? 0;
  }

  /** Returns the time of the last event; 0 for an empty history. */
  getEndedAt(): number {
    return this.events.at(-1)?.at ?? 0;
  }
}

/** Groups values by a key in insertion order. */
export function groupBy<Value>(
  values: Iterable<Value>,
  getKey: (value: Value) => string,
): Map<string, Value[]> {
  const groups = new Map<string, Value[]>();
  for (const value of values) {
    const key = getKey(value);
    const group = groups.get(key);
    if (group) group.push(value);
    else groups.set(key, [value]);
  }
  return groups;
}

/**
 * A deterministic state machine. It owns its state and may mutate it in place; time arrives with each
 * event, and everything that must happen outside is returned as data.
 */
export interface Reducer<Event, Effect> {
  /** Applies one event at the given monotonic time in milliseconds and returns the effects to carry out. */
  reduce(event: Event, at: number): readonly Effect[];
}

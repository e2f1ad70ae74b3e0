/**
 * A deterministic state machine. It owns its state and may mutate it in place. The time is passed with each
 * event, and side effects are returned as data for the caller to execute.
 */
export interface Reducer<Event, Effect> {
  /** Applies one event at the given monotonic time in milliseconds and returns the effects to execute. */
  reduce(event: Event, at: number): readonly Effect[];
}

/** One problem found in a settings file, an intent file, a frame or a record. */
export interface Finding {
  /** File, stream or record that contains the problem. */
  readonly source: string;
  /** Path or line inside the source, for example `services[0].replicas`. */
  readonly place: string;
  /** The rejected value, rendered for display. */
  readonly value: string;
  /** What would have been accepted. */
  readonly allowed: string;
}

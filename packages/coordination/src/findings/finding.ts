/** One problem found in a settings file, an intent file, a frame or a record. */
export interface Finding {
  /** File, stream or record in which the problem stands. */
  readonly source: string;
  /** Path or line inside the source, for example `services[0].replicas`. */
  readonly place: string;
  /** The rejected value, as it should be shown to a person. */
  readonly value: string;
  /** What would have been accepted. */
  readonly allowed: string;
}

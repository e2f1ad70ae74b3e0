/** An event that a stand-in recorded, in the format that the history checks read. */
export interface RecordedEvent {
  /** Time in milliseconds on the machine's monotonic clock. */
  readonly at: number;
  readonly kind: string;
  readonly [field: string]: unknown;
}

/** Returns milliseconds on the machine's monotonic clock. All processes share it, so their times can be compared. */
export function getMonotonicTimeMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}

/** Writes events as JSON lines; without a `write` function they are discarded. */
export class EventRecorder {
  /** Creates a recorder; `write` is called with each line, its newline included. */
  constructor(private readonly write: (line: string) => void = () => {}) {}

  /** Records an event with the current time. */
  record(kind: string, fields: Readonly<Record<string, unknown>>): void {
    this.write(`${JSON.stringify({at: getMonotonicTimeMs(), kind, ...fields})}\n`);
  }
}

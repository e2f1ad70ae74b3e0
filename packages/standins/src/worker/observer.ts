/** One thing that a stand-in saw, in the form of the history checks. */
export interface Observation {
  readonly at: number;
  readonly kind: string;
  readonly [field: string]: unknown;
}

/** Returns milliseconds on the machine's monotonic clock, which all processes share. */
export function getSharedTime(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}

/** Writes observations as JSON lines, or keeps nothing when no sink is given. */
export class Observer {
  /** Creates an observer; `write` takes one line. */
  constructor(private readonly write: (line: string) => void = () => {}) {}

  /** Records something that happens now. */
  record(kind: string, fields: Readonly<Record<string, unknown>>): void {
    this.write(`${JSON.stringify({at: getSharedTime(), kind, ...fields})}\n`);
  }
}

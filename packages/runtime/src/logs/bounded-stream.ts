/** What a `BoundedStream` writes to. */
export interface LineSink {
  /** Bytes that were written and not yet taken. */
  readonly writableLength: number;
  write(line: string): boolean;
}

/** Bytes that may wait for a reader; more is left out. */
const defaultMaxWaitingBytes = 1024 * 1024;

/**
 * Passes lines on to a stream without ever waiting for its reader: while too much waits, lines are left out and
 * counted, and the count is written once the reader goes on.
 */
export class BoundedStream {
  private omitted = 0;

  constructor(
    private readonly sink: LineSink,
    private readonly maxWaitingBytes = defaultMaxWaitingBytes,
  ) {}

  /** Writes a line, or leaves it out. */
  write(line: string): void {
    if (this.sink.writableLength > this.maxWaitingBytes) {
      this.omitted += 1;
      return;
    }
    if (this.omitted > 0) {
      this.sink.write(`${JSON.stringify({event: 'lines-omitted', unread: this.omitted})}\n`);
      this.omitted = 0;
    }
    this.sink.write(line);
  }
}

/** Returns standard output as a stream that no reader can hold up. */
export function createOutputStream(): BoundedStream {
  // Node.js writes to pipes synchronously, so a reader that stops would stop the process.
  const {_handle: handle} = process.stdout as unknown as {
    readonly _handle?: {readonly setBlocking?: (blocking: boolean) => void};
  };
  handle?.setBlocking?.(false);
  process.stdout.on('error', () => undefined);
  return new BoundedStream(process.stdout);
}

/** Destination of a `BoundedStream`, for example a writable stream of Node.js. */
export interface LineSink {
  /** Bytes that were written but not yet consumed by the reader. */
  readonly writableLength: number;
  /** Queues a line; the result is not used. */
  write(line: string): boolean;
}

/** Default limit of the bytes that may be buffered for a slow reader. */
const defaultMaxBufferedBytes = 1024 * 1024;

/**
 * Writes lines to a stream without ever waiting for its reader. While more than the limit is buffered, lines are
 * dropped and counted; the count is written as a JSON line once the reader catches up.
 */
export class BoundedStream {
  /** Number of lines dropped since the reader last caught up. */
  private omitted = 0;

  constructor(
    private readonly sink: LineSink,
    private readonly maxBufferedBytes = defaultMaxBufferedBytes,
  ) {}

  /** Writes a line, or drops it while too much is buffered. */
  write(line: string): void {
    if (this.sink.writableLength > this.maxBufferedBytes) {
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

/** Returns standard output as a stream whose reader cannot block the process. */
export function createOutputStream(): BoundedStream {
  // Node.js writes to pipes synchronously by default, so a reader that stops reading would block the process.
  const {_handle: handle} = process.stdout as unknown as {
    readonly _handle?: {readonly setBlocking?: (blocking: boolean) => void};
  };
  handle?.setBlocking?.(false);
  process.stdout.on('error', () => undefined);
  return new BoundedStream(process.stdout);
}

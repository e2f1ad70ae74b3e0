import bunyan from 'bunyan';

/** Structured logger of a process. */
export type Logger = bunyan;

/** Creates the logger of a process; it writes JSON lines to standard error, or to the given stream. */
export function createLogger(
  fields: {readonly role: string; readonly process: string; readonly dataCentre: string},
  level: bunyan.LogLevelString,
  stream: {write(line: string): unknown} = process.stderr,
): Logger {
  return bunyan.createLogger({
    name: 'chervilbeamd',
    ...fields,
    streams: [{level, stream: stream as NodeJS.WritableStream}],
  });
}

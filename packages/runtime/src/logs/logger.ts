import bunyan from 'bunyan';

/** Structured logger of a process. */
export type Logger = bunyan;

/** Creates the logger of a process; it writes JSON lines to standard error. */
export function createLogger(
  fields: {readonly role: string; readonly process: string; readonly dataCentre: string},
  level: bunyan.LogLevelString,
): Logger {
  return bunyan.createLogger({
    name: 'chervilbeamd',
    ...fields,
    streams: [{level, stream: process.stderr}],
  });
}

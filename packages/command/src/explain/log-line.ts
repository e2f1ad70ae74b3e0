import {isRecord, type StampedEvent} from '@chervilbeam/coordination';

/** Fields that every log line has and that say nothing about its event. */
const commonFields = new Set([
  'name',
  'role',
  'process',
  'dataCentre',
  'hostname',
  'pid',
  'level',
  'event',
  'msg',
  'time',
  'v',
]);

/** One line of a process's log; `stamp` is its Unix time in milliseconds. */
export interface LogLine extends StampedEvent {
  readonly event: string;
  /** The fields of the event. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Lines of one log, and the number of those that are not log lines of the system. */
export interface ParsedLog {
  readonly lines: readonly LogLine[];
  readonly skippedCount: number;
  /** Number of the first skipped line; 0 when there is none. */
  readonly firstSkipped: number;
}

/** Parses a log. Text before the JSON of a line, as log collectors add it, is ignored, and so are empty lines. */
export function parseLog(text: string): ParsedLog {
  const lines: LogLine[] = [];
  let skippedCount = 0;
  let firstSkipped = 0;
  text.split('\n').forEach((source, index) => {
    if (source.trim() === '') return;
    const line = parseLine(source);
    if (line !== undefined) lines.push(line);
    else {
      skippedCount += 1;
      if (firstSkipped === 0) firstSkipped = index + 1;
    }
  });
  return {lines, skippedCount, firstSkipped};
}

function parseLine(source: string): LogLine | undefined {
  const start = source.indexOf('{');
  if (start < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(source.slice(start));
  } catch {
    return undefined;
  }
  if (!isRecord(value)) return undefined;
  const {event, time, process} = value;
  if (typeof event !== 'string' || typeof time !== 'string') return undefined;
  const stamp = Date.parse(time);
  if (Number.isNaN(stamp)) return undefined;
  const fields = Object.fromEntries(
    Object.entries(value).filter(([field]) => !commonFields.has(field)),
  );
  return {stamp, process: typeof process === 'string' ? process : '', event, fields};
}

/** Returns a field that holds text, or undefined. */
export function getText(line: LogLine, field: string): string | undefined {
  const value = line.fields[field];
  return typeof value === 'string' ? value : undefined;
}

/** Returns a field that holds a number, or undefined. */
export function getNumber(line: LogLine, field: string): number | undefined {
  const value = line.fields[field];
  return typeof value === 'number' ? value : undefined;
}

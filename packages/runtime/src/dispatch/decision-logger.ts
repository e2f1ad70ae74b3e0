import type {LoggedDecision} from '@chervilbeam/coordination';
import type {Logger} from '../logs/index.js';

/** Rate limit for each event; lines above it are only counted. */
const maxLinesPerSecond = 60;

/** Fields of a log line besides the event name. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Logs each decision as one line, rate-limited by event so that a burst of one event does not flood the log. */
export class DecisionLogger {
  /** Number of lines written in the current second, by event. */
  private readonly writtenLines = new Map<string, number>();
  /** Number of lines omitted in the current second, by event. */
  private readonly omitted = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly logger: Logger) {
    this.timer = setInterval(() => this.flushCounts(), 1_000);
    this.timer.unref();
  }

  /** Logs a decision of the dispatcher. */
  logDecision(decision: LoggedDecision): void {
    const {event, ...fields} = decision;
    this.log(event, fields);
  }

  /** Logs an event; lines above `maxLinesPerSecond` are only counted, and the counts logged once a second. */
  log(event: string, fields: LogFields = {}): void {
    const written = this.writtenLines.get(event) ?? 0;
    if (written >= maxLinesPerSecond) {
      this.omitted.set(event, (this.omitted.get(event) ?? 0) + 1);
      return;
    }
    this.writtenLines.set(event, written + 1);
    this.logger.info({event, ...fields}, event);
  }

  /** Logs a warning, without a rate limit. */
  warn(event: string, fields: LogFields = {}): void {
    this.logger.warn({event, ...fields}, event);
  }

  /** Stops the timer and logs the number of lines omitted so far. */
  close(): void {
    clearInterval(this.timer);
    this.flushCounts();
  }

  private flushCounts(): void {
    this.writtenLines.clear();
    if (this.omitted.size === 0) return;
    this.logger.warn(
      {event: 'lines-omitted', omitted: Object.fromEntries(this.omitted)},
      'lines omitted',
    );
    this.omitted.clear();
  }
}

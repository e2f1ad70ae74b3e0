import type {LoggedDecision} from '@chervilbeam/coordination';
import type {Logger} from '../logs/index.js';

/** Lines of one event that are written in a second; what exceeds them is counted. */
const maxLinesPerSecond = 60;

/** Fields of a line beside the name of its event. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one line for each decision, with a bound on the lines of each event. */
export class DecisionLogger {
  private readonly written = new Map<string, number>();
  private readonly omitted = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly logger: Logger) {
    this.timer = setInterval(() => this.reset(), 1_000);
    this.timer.unref();
  }

  /** Logs a decision of the dispatcher. */
  decide(decision: LoggedDecision): void {
    const {event, ...fields} = decision;
    this.log(event, fields);
  }

  /** Logs an event; more than a bounded number of lines a second are only counted. */
  log(event: string, fields: LogFields = {}): void {
    const written = this.written.get(event) ?? 0;
    if (written >= maxLinesPerSecond) {
      this.omitted.set(event, (this.omitted.get(event) ?? 0) + 1);
      return;
    }
    this.written.set(event, written + 1);
    this.logger.info({event, ...fields}, event);
  }

  /** Logs something that needs a look. */
  warn(event: string, fields: LogFields = {}): void {
    this.logger.warn({event, ...fields}, event);
  }

  /** Stops counting. */
  close(): void {
    clearInterval(this.timer);
    this.reset();
  }

  private reset(): void {
    this.written.clear();
    if (this.omitted.size === 0) return;
    this.logger.warn(
      {event: 'lines-omitted', omitted: Object.fromEntries(this.omitted)},
      'lines omitted',
    );
    this.omitted.clear();
  }
}

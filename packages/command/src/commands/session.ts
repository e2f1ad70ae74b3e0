import {isRecord, type Finding} from '@chervilbeam/coordination';
import {EntryClient, type ControlAnswer} from '../client/index.js';
import type {CommandContext, SharedOptions} from '../command-context.js';
import {exitCodes, type ExitCode} from '../exit-code.js';
import {renderFindings} from '../output/index.js';

/** Ends a command with an exit code; the message is printed on standard error. */
export class CommandError extends Error {
  constructor(
    message: string,
    readonly exitCode: ExitCode,
  ) {
    super(message);
    this.name = 'CommandError';
  }
}

/** One run of a command: its context, the client for the entries and the output format. */
export class Session {
  /** Client of the entries given by `--entry` or `CHERVILBEAM_ENTRIES`. */
  readonly client: EntryClient;
  /** Whether to print JSON instead of text. */
  readonly isJson: boolean;

  /** Creates the session. Throws `CommandError` when the address of an entry is invalid. */
  constructor(
    readonly context: CommandContext,
    options: SharedOptions,
  ) {
    this.isJson = options.json ?? false;
    this.client = new EntryClient(getEntries(context, options), context.signal);
  }

  /** Prints a value as JSON with --json, else the text that `render` returns. */
  print(value: unknown, render: () => string): void {
    this.context.print(this.isJson ? JSON.stringify(value, undefined, 2) : render());
  }

  /** Prints findings on standard error, with --json also as JSON on standard output, and returns the exit code. */
  reportFindings(findings: readonly Finding[]): ExitCode {
    if (this.isJson) this.context.print(JSON.stringify({findings}, undefined, 2));
    this.context.printError(renderFindings(findings));
    return exitCodes.findings;
  }

  /** Reports an unsuccessful answer and returns the exit code. */
  reportFailure({status, body}: ControlAnswer): ExitCode {
    if (status === 422 && isRecord(body) && Array.isArray(body.findings)) {
      return this.reportFindings(body.findings as Finding[]);
    }
    if (this.isJson) this.context.print(JSON.stringify(body, undefined, 2));
    const detail = isRecord(body) ? (body.detail ?? body.reason ?? body.outcome) : undefined;
    this.context.printError(`the entry answered ${status}: ${String(detail ?? 'no detail')}`);
    return status === 503 ? exitCodes.unavailable : exitCodes.findings;
  }
}

function getEntries(context: CommandContext, options: SharedOptions): readonly string[] {
  const given = options.entry ?? [];
  if (given.length > 0) return given.map(toOrigin);
  const listed = context.environment.CHERVILBEAM_ENTRIES ?? '';
  return listed
    .split(',')
    .map(entry => entry.trim())
    .filter(entry => entry !== '')
    .map(toOrigin);
}

/** Converts an address, `ip:port` or `http://ip:port`, to an origin. Throws `CommandError` when it is invalid. */
function toOrigin(entry: string): string {
  const text = /^https?:\/\//.test(entry) ? entry : `http://${entry}`;
  if (URL.canParse(text)) return new URL(text).origin;
  throw new CommandError(`not an address: ${entry}; allowed: ip:port`, exitCodes.usage);
}

import {Command, CommanderError, InvalidArgumentError} from 'commander';
import {NoEntryError} from './client/index.js';
import type {CommandContext, SharedOptions} from './command-context.js';
import {
  cancelWorkloads,
  CommandError,
  confirmFile,
  declareLoss,
  drainHosts,
  explainSubmission,
  planFile,
  Session,
  showPlan,
  showStatus,
  showTimeline,
  validateFiles,
  watchStatus,
  type ChangeOptions,
  type TimelineOptions,
} from './commands/index.js';
import {exitCodes, type ExitCode} from './exit-code.js';

const exitCodeHelp = `
Exit codes: 0 done, 1 findings, 2 wrong arguments, 3 refused, 4 unavailable,
5 unknown outcome, 130 interrupted.`;

/**
 * Runs the command with its arguments (without the program's name) and returns the exit code. Only unexpected errors
 * are thrown.
 */
export async function runCommand(
  args: readonly string[],
  context: CommandContext,
): Promise<ExitCode> {
  let exitCode: ExitCode = exitCodes.success;
  const program = buildProgram(context, code => (exitCode = code));
  try {
    await program.parseAsync([...args], {from: 'user'});
    return exitCode;
  } catch (error) {
    if (context.signal.aborted) return exitCodes.interrupted;
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? exitCodes.success : exitCodes.usage;
    }
    if (error instanceof CommandError) {
      context.printError(error.message);
      return error.exitCode;
    }
    if (error instanceof NoEntryError) {
      const hint = error.attempts.length === 0 ? '; set --entry or CHERVILBEAM_ENTRIES' : '';
      context.printError(`${error.message}${hint}`);
      return error.attempts.length === 0 ? exitCodes.usage : exitCodes.unavailable;
    }
    throw error;
  }
}

function buildProgram(context: CommandContext, setExitCode: (code: ExitCode) => void): Command {
  const program = new Command('chervilbeam')
    .description('Plans and confirms configuration changes, and shows the state of the scheduler.')
    .showHelpAfterError('(add --help for help)')
    .exitOverride()
    .configureOutput({
      writeOut: text => context.print(text.trimEnd()),
      writeErr: text => context.printError(text.trimEnd()),
    })
    .addHelpText('after', exitCodeHelp);
  const addCommand = (nameAndArgs: string, description: string, example: string) =>
    program
      .command(nameAndArgs)
      .description(description)
      .option('--json', 'print JSON')
      .addHelpText('after', `\nExample:\n  $ chervilbeam ${example}`);
  const addEntryCommand = (nameAndArgs: string, description: string, example: string) =>
    addCommand(nameAndArgs, description, example).option(
      '-e, --entry <address>',
      'control port of an entry as ip:port; repeat it to try several in turn (default: CHERVILBEAM_ENTRIES)',
      collect,
    );
  const addChangeCommand = (nameAndArgs: string, description: string, example: string) =>
    addEntryCommand(nameAndArgs, description, example)
      .option(
        '-o, --operator <name>',
        'your name (default: CHERVILBEAM_OPERATOR, else the login name)',
      )
      .option('-y, --yes', 'do not ask for confirmation');
  const createSession = (options: SharedOptions) => new Session(context, options);

  addCommand(
    'validate <files...>',
    'Check settings and intent files.',
    'validate examples/*.json',
  ).action((files: string[], options: SharedOptions) =>
    setExitCode(validateFiles(createSession(options), files)),
  );
  addEntryCommand(
    'plan <intent>',
    'Plan an intent file; nothing changes.',
    'plan stalls.json -f p.json',
  )
    .option('-f, --out <file>', 'write the plan to a file for confirm')
    .action(async (file: string, options: SharedOptions & {out?: string}) =>
      setExitCode(await planFile(createSession(options), file, options)),
    );
  addCommand('show <plan>', 'Show a plan file.', 'show p.json').action(
    (file: string, options: SharedOptions) => setExitCode(showPlan(createSession(options), file)),
  );
  addEntryCommand('confirm <plan>', 'Confirm a plan file.', 'confirm p.json').action(
    async (file: string, options: SharedOptions) =>
      setExitCode(await confirmFile(createSession(options), file)),
  );
  addEntryCommand(
    'status',
    'Show the configuration version of each process and the state of workloads.',
    'status',
  ).action(async (options: SharedOptions) => setExitCode(await showStatus(createSession(options))));
  addEntryCommand('watch', 'Show the status whenever it changes, until Ctrl-C.', 'watch --until 42')
    .option('-u, --until <version>', 'end when this version is in force everywhere', parseVersion)
    .action(async (options: SharedOptions & {until?: number}) =>
      setExitCode(await watchStatus(createSession(options), options)),
    );
  addChangeCommand(
    'drain <hosts...>',
    'Drain hosts, so that they receive no new work.',
    'drain host-7',
  )
    .option('--undo', 'return the hosts to service')
    .action(async (hosts: string[], options: SharedOptions & ChangeOptions & {undo?: boolean}) =>
      setExitCode(await drainHosts(createSession(options), hosts, options)),
    );
  addChangeCommand(
    'cancel <workloads...>',
    'Remove workloads; their tasks stop.',
    'cancel proofs',
  ).action(async (names: string[], options: SharedOptions & ChangeOptions) =>
    setExitCode(await cancelWorkloads(createSession(options), names, options)),
  );
  addChangeCommand('lost <host>', 'Declare an unreachable host lost.', 'lost host-7').action(
    async (host: string, options: SharedOptions & ChangeOptions) =>
      setExitCode(await declareLoss(createSession(options), host, options)),
  );
  addEntryCommand(
    'timeline',
    'Merge the events of all processes.',
    'timeline --configuration 42 --trace trace.json',
  )
    .option('--request <id>', 'events of one request')
    .option('--task <id>', 'events of one task, or of all tasks of a workload')
    .option('--configuration <version>', 'events of one configuration version', parseVersion)
    .option('--trace <file>', "also write a trace-event file for a browser's trace viewer")
    .option(
      '-p, --process <address>',
      'control port of a further process; may be repeated',
      collect,
    )
    .action(async (options: SharedOptions & TimelineOptions) =>
      setExitCode(await showTimeline(createSession(options), options)),
    );
  addCommand(
    'explain <id> [logs...]',
    'Explain what happened to a submission or a task, from the logs of all processes (default: standard input).',
    'explain 5c0e7a21d94b36f8 logs/*.log',
  ).action((id: string, files: string[], options: SharedOptions) =>
    setExitCode(explainSubmission(createSession(options), id, files)),
  );
  return program;
}

function collect(value: string, previous: readonly string[] = []): readonly string[] {
  return [...previous, value];
}

/** Parses a version. Every number of 15 digits is exact as a JavaScript number; some of 16 digits are not. */
function parseVersion(text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new InvalidArgumentError('allowed: a whole number of at most 15 digits');
}

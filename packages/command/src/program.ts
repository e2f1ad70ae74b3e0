import {Command, CommanderError, InvalidArgumentError} from 'commander';
import {NoEntryError} from './client/index.js';
import type {CommandContext, SharedOptions} from './command-context.js';
import {
  cancelWorkloads,
  CommandError,
  confirmFile,
  declareLoss,
  drainHosts,
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

/** Runs the command with its arguments (without the program's name) and returns the exit code. */
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
      const hint = error.attempts.length === 0 ? '; give --entry or CHERVILBEAM_ENTRIES' : '';
      context.printError(`${error.message}${hint}`);
      return error.attempts.length === 0 ? exitCodes.usage : exitCodes.unavailable;
    }
    throw error;
  }
}

function buildProgram(context: CommandContext, finish: (code: ExitCode) => void): Command {
  const program = new Command('chervilbeam')
    .description('States intents to the scheduler, confirms plans and shows what goes on.')
    .showHelpAfterError('(add --help for help)')
    .exitOverride()
    .configureOutput({
      writeOut: text => context.print(text.trimEnd()),
      writeErr: text => context.printError(text.trimEnd()),
    })
    .addHelpText('after', exitCodeHelp);
  const add = (nameAndArgs: string, description: string, example: string) =>
    program
      .command(nameAndArgs)
      .description(description)
      .option('--json', 'print JSON')
      .addHelpText('after', `\nExample:\n  $ chervilbeam ${example}`);
  const addCalling = (nameAndArgs: string, description: string, example: string) =>
    add(nameAndArgs, description, example).option(
      '-e, --entry <address>',
      'control port of an entry as ip:port; repeat it for more, tried in turn (default: CHERVILBEAM_ENTRIES)',
      collect,
    );
  const addChanging = (nameAndArgs: string, description: string, example: string) =>
    addCalling(nameAndArgs, description, example)
      .option('-o, --operator <name>', 'your name (default: CHERVILBEAM_OPERATOR, else the login)')
      .option('-y, --yes', 'do not ask');
  const open = (options: SharedOptions) => new Session(context, options);

  add('validate <files...>', 'Check settings and intent files.', 'validate examples/*.json').action(
    (files: string[], options: SharedOptions) => finish(validateFiles(open(options), files)),
  );
  addCalling('plan <intent>', 'Plan an intent file; nothing changes.', 'plan stalls.json -f p.json')
    .option('-f, --out <file>', 'write the plan to a file for confirm')
    .action(async (file: string, options: SharedOptions & {out?: string}) =>
      finish(await planFile(open(options), file, options)),
    );
  add('show <plan>', 'Show a plan file.', 'show p.json').action(
    (file: string, options: SharedOptions) => finish(showPlan(open(options), file)),
  );
  addCalling('confirm <plan>', 'Confirm a plan file.', 'confirm p.json').action(
    async (file: string, options: SharedOptions) => finish(await confirmFile(open(options), file)),
  );
  addCalling('status', 'Show where the configuration is in force.', 'status').action(
    async (options: SharedOptions) => finish(await showStatus(open(options))),
  );
  addCalling('watch', 'Show the status at each change, until Ctrl-C.', 'watch --until 42')
    .option('-u, --until <version>', 'end when this version is in force everywhere', parseVersion)
    .action(async (options: SharedOptions & {until?: number}) =>
      finish(await watchStatus(open(options), options)),
    );
  addChanging('drain <hosts...>', 'Give hosts no new work.', 'drain host-7')
    .option('--undo', 'return the hosts to service')
    .action(async (hosts: string[], options: SharedOptions & ChangeOptions & {undo?: boolean}) =>
      finish(await drainHosts(open(options), hosts, options)),
    );
  addChanging(
    'cancel <workloads...>',
    'Remove workloads; their tasks stop.',
    'cancel proofs',
  ).action(async (names: string[], options: SharedOptions & ChangeOptions) =>
    finish(await cancelWorkloads(open(options), names, options)),
  );
  addChanging('lost <host>', 'Declare an unreachable host lost.', 'lost host-7').action(
    async (host: string, options: SharedOptions & ChangeOptions) =>
      finish(await declareLoss(open(options), host, options)),
  );
  addCalling(
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
      finish(await showTimeline(open(options), options)),
    );
  return program;
}

function collect(value: string, previous: readonly string[] = []): readonly string[] {
  return [...previous, value];
}

function parseVersion(text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new InvalidArgumentError('allowed: a whole number');
}

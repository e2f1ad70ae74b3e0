import {userInfo} from 'node:os';
import {exitCodes, type ExitCode} from '../exit-code.js';
import {planAndConfirm} from './plan-commands.js';
import {CommandError, type Session} from './session.js';

/** Options of commands that change the configuration or declare a loss. */
export interface ChangeOptions {
  /** Name of the operator; `CHERVILBEAM_OPERATOR` or the login name when not given. */
  readonly operator?: string;
  /** Do not ask the operator for confirmation. */
  readonly yes?: boolean;
}

/** Drains hosts, or returns them to service. */
export async function drainHosts(
  session: Session,
  hosts: readonly string[],
  options: ChangeOptions & {readonly undo?: boolean},
): Promise<ExitCode> {
  const drains = hosts.map(host => ({host, draining: !options.undo}));
  return planAndConfirm(session, {operator: getOperator(session, options), drains}, options);
}

/** Removes workloads; their tasks stop. */
export async function cancelWorkloads(
  session: Session,
  names: readonly string[],
  options: ChangeOptions,
): Promise<ExitCode> {
  const intent = {operator: getOperator(session, options), cancel: names};
  return planAndConfirm(session, intent, options);
}

/** Declares a host lost, so that its tasks restart on other hosts although it cannot confirm that they have stopped. */
export async function declareLoss(
  session: Session,
  host: string,
  options: ChangeOptions,
): Promise<ExitCode> {
  const {context} = session;
  if (!options.yes) {
    if (!context.isTerminal) {
      throw new CommandError(
        'cannot ask without a terminal; add --yes to declare the loss',
        exitCodes.usage,
      );
    }
    context.print(
      `Tasks of ${host} will start elsewhere. If the host still runs, they run in two places.`,
    );
    const answer = await context.ask('Type the name of the host to declare it lost: ');
    if (answer.trim() !== host) {
      context.printError('not declared lost; nothing was changed');
      return exitCodes.refused;
    }
  }
  const body = {host, operator: getOperator(session, options)};
  const answer = await session.client.post('/v1/losses', body);
  if (answer.status !== 200) return session.reportFailure(answer);
  session.print(answer.body, () => `Host ${host} is declared lost.`);
  return exitCodes.success;
}

function getOperator(session: Session, options: ChangeOptions): string {
  const name = options.operator ?? session.context.environment.CHERVILBEAM_OPERATOR;
  return name ?? userInfo().username;
}

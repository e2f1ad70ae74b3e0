import {
  checkPlan,
  isRecord,
  parseIntentText,
  type ConfigurationChange,
  type Plan,
} from '@chervilbeam/coordination';
import {NoEntryError, type ControlAnswer} from '../client/index.js';
import {exitCodes, type ExitCode} from '../exit-code.js';
import {renderDifference, renderPlan} from '../output/index.js';
import {readText, writeJson} from './files.js';
import {CommandError, type Session} from './session.js';

/** Plans an intent file and prints the plan; with `out`, also writes it to a file for `confirm`. */
export async function planFile(
  session: Session,
  file: string,
  options: {readonly out?: string},
): Promise<ExitCode> {
  const parsed = parseIntentText(readText(file), file);
  if (!parsed.ok) return session.reportFindings(parsed.findings);
  const plan = await requestPlan(session, JSON.parse(readText(file)));
  if (typeof plan === 'number') return plan;
  if (options.out !== undefined) writeJson(options.out, plan);
  session.print(plan, () => {
    const nextStep = options.out ? `Confirm with: chervilbeam confirm ${options.out}` : undefined;
    return [renderPlan(plan), ...(nextStep ? [nextStep] : [])].join('\n');
  });
  return exitCodes.success;
}

/** Prints a plan file. */
export function showPlan(session: Session, file: string): ExitCode {
  const plan = readPlan(session, file);
  if (typeof plan === 'number') return plan;
  session.print(plan, () => renderPlan(plan));
  return exitCodes.success;
}

/** Confirms a plan file. */
export async function confirmFile(session: Session, file: string): Promise<ExitCode> {
  const plan = readPlan(session, file);
  return typeof plan === 'number' ? plan : confirmPlan(session, plan);
}

/** Plans an intent built by a command, shows the plan and confirms it once the operator has agreed. */
export async function planAndConfirm(
  session: Session,
  intent: unknown,
  options: {readonly yes?: boolean},
): Promise<ExitCode> {
  const plan = await requestPlan(session, intent);
  if (typeof plan === 'number') return plan;
  if (plan.operations.length === 0) {
    session.print({outcome: 'accepted', unchanged: true}, () => 'Already so; nothing to change.');
    return exitCodes.success;
  }
  const {context} = session;
  if (!options.yes) {
    if (!context.isTerminal || session.isJson) {
      throw new CommandError(
        'cannot ask without a terminal or with --json; add --yes to confirm',
        exitCodes.usage,
      );
    }
    context.print(renderPlan(plan));
    const answer = await context.ask('Confirm this plan? [y/N] ');
    if (!/^y(es)?$/i.test(answer.trim())) {
      context.printError('not confirmed; nothing was changed');
      return exitCodes.refused;
    }
  }
  return confirmPlan(session, plan);
}

/**
 * Requests a plan. The entries are asked in turn until one that schedules a cell predicts the effects. The plan of
 * another entry, which derives the effects from the declared numbers of tasks, is the fallback.
 */
async function requestPlan(session: Session, intent: unknown): Promise<Plan | ExitCode> {
  const answer = await session.client.post('/v1/plans', intent, isConclusivePlanAnswer);
  if (answer.status !== 200) return session.reportFailure(answer);
  const check = checkPlan(answer.body, 'answer of the entry');
  return check.ok ? check.plan : session.reportFindings(check.findings);
}

/** Whether no further entry needs to be asked: the plan holds a scheduler's prediction, or the request failed. */
function isConclusivePlanAnswer({status, body}: ControlAnswer): boolean {
  return status !== 200 || (isRecord(body) && body.prediction === 'scheduler');
}

async function confirmPlan(session: Session, plan: Plan): Promise<ExitCode> {
  const answer = await postConfirmation(session, plan);
  const body = isRecord(answer.body) ? answer.body : {};
  const {context} = session;
  switch (getOutcome(answer, body)) {
    case 'accepted':
      session.print(body, () => `Accepted as version ${String(body.version)}.`);
      return exitCodes.success;
    case 'refused': {
      if (session.isJson) context.print(JSON.stringify(body, undefined, 2));
      const changes = Array.isArray(body.difference)
        ? `Changes accepted since then:\n${renderDifference(body.difference as ConfigurationChange[])}`
        : 'The changes since then are no longer listed.';
      context.printError(
        `Refused: the configuration has changed since version ${plan.baseVersion}; ` +
          `nothing was changed. Plan again.\n${changes}`,
      );
      return exitCodes.refused;
    }
    case 'unknown':
      if (session.isJson) context.print(JSON.stringify(body, undefined, 2));
      context.printError(
        `Unknown: change ${plan.planId} may or may not have been accepted. ` +
          'Confirm the same plan again; it takes effect at most once.',
      );
      return exitCodes.unknown;
    case 'unavailable':
      if (session.isJson) context.print(JSON.stringify(body, undefined, 2));
      context.printError('Unavailable: the store does not answer; nothing was changed.');
      return exitCodes.unavailable;
    default:
      return session.reportFailure(answer);
  }
}

/** Confirms a plan; the outcome is unknown when an entry may have received the confirmation but none answered. */
async function postConfirmation(session: Session, plan: Plan): Promise<ControlAnswer> {
  try {
    return await session.client.post('/v1/confirmations', {plan});
  } catch (error) {
    if (!(error instanceof NoEntryError) || !error.isAmbiguous) throw error;
    return {status: 504, body: {outcome: 'unknown', changeId: plan.planId, detail: error.message}};
  }
}

/**
 * Returns the outcome of a confirmation. An entry that received it but did not answer may still carry it out.
 * When the next entry cannot reach the store, or no longer lists the changes since the plan's base, its answer
 * does not rule that out, and the outcome is unknown.
 */
function getOutcome(answer: ControlAnswer, body: Record<string, unknown>): unknown {
  const {outcome, difference} = body;
  const isInconclusive =
    outcome === 'unavailable' || (outcome === 'refused' && difference === undefined);
  return answer.isAmbiguous && isInconclusive ? 'unknown' : outcome;
}

function readPlan(session: Session, file: string): Plan | ExitCode {
  let value: unknown;
  try {
    value = JSON.parse(readText(file));
  } catch (error) {
    if (error instanceof CommandError) throw error;
    const detail = error instanceof Error ? error.message : String(error);
    const finding = {source: file, place: 'file', value: detail, allowed: 'JSON'};
    return session.reportFindings([finding]);
  }
  const check = checkPlan(value, file);
  return check.ok ? check.plan : session.reportFindings(check.findings);
}

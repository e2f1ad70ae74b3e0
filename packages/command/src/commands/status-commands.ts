import {setTimeout as delay} from 'node:timers/promises';
import type {OperatorStatus} from '@chervilbeam/runtime';
import {NoEntryError} from '../client/index.js';
import {exitCodes, type ExitCode} from '../exit-code.js';
import {renderStatus} from '../output/index.js';
import type {Session} from './session.js';

const watchIntervalMs = 1000;

/** Prints where the configuration is in force. */
export async function showStatus(session: Session): Promise<ExitCode> {
  const answer = await session.client.get('/v1/status');
  if (answer.status !== 200) return session.reportFailure(answer);
  session.print(answer.body, () => renderStatus(answer.body as OperatorStatus));
  return exitCodes.success;
}

/** Prints the status whenever it changes; with a version, until that is in force everywhere. */
export async function watchStatus(
  session: Session,
  options: {readonly until?: number},
): Promise<ExitCode> {
  let shown = '';
  const show = (text: string, print: (text: string) => void) => {
    if (text !== shown) print(text);
    shown = text;
  };
  for (;;) {
    const status = await readStatus(session, text => show(text, session.context.printError));
    if (status) {
      const text = session.isJson ? JSON.stringify(status) : renderStatus(status);
      show(text, session.context.print);
      const {until} = options;
      if (until !== undefined && status.processes.every(process => process.version >= until)) {
        return exitCodes.success;
      }
    }
    await delay(watchIntervalMs, undefined, {signal: session.context.signal});
  }
}

/** Returns undefined after reporting that no entry answers; a watch outlives the restart of its entry. */
async function readStatus(
  session: Session,
  report: (text: string) => void,
): Promise<OperatorStatus | undefined> {
  try {
    const answer = await session.client.get('/v1/status');
    if (answer.status === 200) return answer.body as OperatorStatus;
    report(`the entry answered ${answer.status}`);
  } catch (error) {
    if (!(error instanceof NoEntryError) || error.attempts.length === 0) throw error;
    report(error.message);
  }
  return undefined;
}

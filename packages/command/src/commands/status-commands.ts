import {setTimeout as delay} from 'node:timers/promises';
import type {OperatorStatus, ProcessStatus} from '@chervilbeam/runtime';
import {NoEntryError} from '../client/index.js';
import {exitCodes, type ExitCode} from '../exit-code.js';
import {renderStatus} from '../output/index.js';
import type {Session} from './session.js';

const pollIntervalMs = 1000;

/** Prints the configuration version of each process, the progress of workloads and the findings. */
export async function showStatus(session: Session): Promise<ExitCode> {
  const status = await readStatus(session, text => session.context.printError(text));
  if (!status) return exitCodes.unavailable;
  session.print(status, () => renderStatus(status));
  return exitCodes.success;
}

/**
 * Polls the status and prints it whenever it changes; with `until`, ends once that version is in force everywhere.
 * Throws an `AbortError` when the session is interrupted.
 */
export async function watchStatus(
  session: Session,
  options: {readonly until?: number},
): Promise<ExitCode> {
  let lastPrinted = '';
  let lastReported = '';
  for (;;) {
    const problems: string[] = [];
    const status = await readStatus(session, text => problems.push(text));
    const report = problems.join('\n');
    if (report !== '' && report !== lastReported) session.context.printError(report);
    lastReported = report;
    if (status) {
      const text = session.isJson ? JSON.stringify(status) : renderStatus(status);
      if (text !== lastPrinted) session.context.print(text);
      lastPrinted = text;
      const {until} = options;
      if (until !== undefined && status.processes.every(process => process.version >= until)) {
        return exitCodes.success;
      }
    }
    await delay(pollIntervalMs, undefined, {signal: session.context.signal});
  }
}

/**
 * Asks all entries and merges their answers. One entry is not enough: it learns the version of an entry in
 * another data centre only from their handshake, so its status may be out of date. Returns undefined when no
 * entry answers.
 */
async function readStatus(
  session: Session,
  report: (text: string) => void,
): Promise<OperatorStatus | undefined> {
  const {client, context} = session;
  if (client.entries.length === 0) throw new NoEntryError([], false);
  const answers = await Promise.all(
    client.entries.map(async entry => {
      try {
        const {status, body} = await client.getFrom(entry, '/v1/status');
        if (status === 200) return body as OperatorStatus;
        report(`${entry}: answered ${status}`);
      } catch (error) {
        if (context.signal.aborted) throw error;
        report(`${entry}: not reached`);
      }
      return undefined;
    }),
  );
  return mergeStatus(answers.filter(answer => answer !== undefined));
}

/** Merges the answers of all entries; the highest version seen of a process is its current one. */
function mergeStatus(answers: readonly OperatorStatus[]): OperatorStatus | undefined {
  const first = answers[0];
  if (!first) return undefined;
  const processes = new Map<string, ProcessStatus>();
  for (const process of answers.flatMap(answer => answer.processes)) {
    const previous = processes.get(process.name);
    const version = Math.max(process.version, previous?.version ?? 0);
    processes.set(process.name, {...previous, ...process, version});
  }
  const findings = new Map(
    answers.flatMap(answer => answer.findings).map(finding => [finding.workload, finding]),
  );
  return {
    deployment: first.deployment,
    version: Math.max(...answers.map(answer => answer.version)),
    processes: [...processes.values()],
    workloads: answers.flatMap(answer => answer.workloads),
    findings: [...findings.values()],
  };
}

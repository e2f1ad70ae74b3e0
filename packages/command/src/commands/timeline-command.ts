import {isRecord, mergeTimelines, toTraceFile, type TimelineEvent} from '@chervilbeam/coordination';
import type {OperatorStatus} from '@chervilbeam/runtime';
import {exitCodes, type ExitCode} from '../exit-code.js';
import {renderTimeline} from '../output/index.js';
import {writeJson} from './files.js';
import {CommandError, type Session} from './session.js';

/** Options of `chervilbeam timeline`. */
export interface TimelineOptions {
  /** Id of a request. */
  readonly request?: string;
  /** Id of a task, or name of a workload for all its tasks. */
  readonly task?: string;
  /** Configuration version. */
  readonly configuration?: number;
  /** File for the events in the trace-event format, which a browser's trace viewer opens. */
  readonly trace?: string;
  /** Control ports of processes that the status does not list. */
  readonly process?: readonly string[];
}

/** Prints the merged events of all processes for one request, task or configuration version. */
export async function showTimeline(session: Session, options: TimelineOptions): Promise<ExitCode> {
  const query = new URLSearchParams();
  if (options.request !== undefined) query.set('request', options.request);
  if (options.task !== undefined) query.set('task', options.task);
  if (options.configuration !== undefined) query.set('version', `${options.configuration}`);
  if (query.size !== 1) {
    throw new CommandError('give one of --request, --task, --configuration', exitCodes.usage);
  }
  const origins = await getOrigins(session, options.process ?? []);
  const timelines = await Promise.all(
    origins.map(origin => readEvents(session, origin, `/v1/timeline?${query.toString()}`)),
  );
  const events = mergeTimelines(timelines.filter(timeline => timeline !== undefined));
  if (timelines.every(timeline => timeline === undefined)) return exitCodes.unavailable;
  if (options.trace !== undefined) writeJson(options.trace, toTraceFile(events));
  session.print({events}, () => renderTimeline(events));
  return exitCodes.success;
}

/** Returns the control ports to query: the entries, the extra processes, and the processes listed in the status. */
async function getOrigins(
  session: Session,
  extraOrigins: readonly string[],
): Promise<readonly string[]> {
  const answer = await session.client.get('/v1/status');
  const processes = isRecord(answer.body) ? (answer.body as Partial<OperatorStatus>).processes : [];
  const advertised = (processes ?? []).map(process => process.control);
  const all = [
    ...session.client.entries,
    ...extraOrigins,
    ...advertised.filter(origin => origin !== undefined),
  ];
  const origins = all.map(origin => (origin.includes('://') ? origin : `http://${origin}`));
  return [...new Set(origins)];
}

/** Returns undefined, with a message on standard error, when the process does not answer. */
async function readEvents(
  session: Session,
  origin: string,
  path: string,
): Promise<readonly TimelineEvent[] | undefined> {
  try {
    const {status, body} = await session.client.getFrom(origin, path);
    if (status === 200 && isRecord(body) && Array.isArray(body.events)) {
      return body.events as TimelineEvent[];
    }
    session.context.printError(`${origin}: answered ${status}; its events are missing`);
  } catch (error) {
    if (session.context.signal.aborted) throw error;
    session.context.printError(`${origin}: not reached; its events are missing`);
  }
  return undefined;
}

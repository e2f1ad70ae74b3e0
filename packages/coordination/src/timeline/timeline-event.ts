/** What an event is about. */
export type TimelineSubject = 'request' | 'task' | 'configuration' | 'process';

/** Step of a request, a task, a configuration version or the process, as a reducer records it. */
export interface TimelineRecord {
  readonly subject: TimelineSubject;
  /** Request key, task id or configuration version; empty for the process. */
  readonly id: string;
  readonly step: string;
  readonly peer?: string;
  readonly attempt?: number;
  readonly detail?: string;
}

/**
 * Record of a reducer that names a task, workload or version instead of a subject and an id. A record without any of
 * them is about the process.
 */
export interface PlainRecord {
  readonly kind: string;
  readonly task?: string;
  readonly version?: number;
  readonly attempt?: number;
  readonly host?: string;
  readonly workload?: string;
  readonly detail?: string;
}

/** An event of one process with the stamp of its hybrid logical clock. */
export interface TimelineEvent extends TimelineRecord {
  readonly stamp: number;
  readonly process: string;
}

/** Selects events that match any of the given fields. Without fields, all events match. */
export interface TimelineFilter {
  /** Key of a request. */
  readonly request?: string;
  /** Id of a task, or name of a workload to select all of its tasks. */
  readonly task?: string;
  /** Configuration version. */
  readonly version?: number;
}

/** Converts a record of either form to one with a subject and an id. */
export function toTimelineRecord(record: TimelineRecord | PlainRecord): TimelineRecord {
  if ('subject' in record) return record;
  const {kind: step, task, version, attempt, host, workload, detail} = record;
  const optionalFields = {
    ...(host !== undefined && {peer: host}),
    ...(attempt !== undefined && {attempt}),
    ...(detail !== undefined && {detail}),
  };
  if (version !== undefined)
    return {subject: 'configuration', id: `${version}`, step, ...optionalFields};
  const id = task ?? workload;
  if (id !== undefined) return {subject: 'task', id, step, ...optionalFields};
  return {subject: 'process', id: '', step, ...optionalFields};
}

/** Returns whether an event matches a filter. */
export function matchesFilter(event: TimelineRecord, filter: TimelineFilter): boolean {
  const {request, task, version} = filter;
  if (request === undefined && task === undefined && version === undefined) return true;
  switch (event.subject) {
    case 'request':
      return event.id === request;
    case 'task':
      return task !== undefined && (event.id === task || event.id.startsWith(`${task}/`));
    case 'configuration':
      return event.id === String(version);
    case 'process':
      return false;
  }
}

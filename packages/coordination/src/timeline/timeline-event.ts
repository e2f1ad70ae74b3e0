/** What an event is about. */
export type TimelineSubject = 'request' | 'task' | 'configuration' | 'process';

/** What a reducer records: a step in the life of a request, a task, a configuration version or the process. */
export interface TimelineRecord {
  readonly subject: TimelineSubject;
  /** Key of the request, task id, configuration version, or empty for the process. */
  readonly id: string;
  readonly step: string;
  readonly peer?: string;
  readonly attempt?: number;
  readonly detail?: string;
}

/** Record in the form of reducers that name the task or version in place of a subject. */
export interface PlainRecord {
  readonly kind: string;
  readonly task?: string;
  readonly version?: number;
  readonly attempt?: number;
  readonly host?: string;
  readonly workload?: string;
  readonly detail?: string;
}

/** An event of one process with its hybrid logical clock stamp. */
export interface TimelineEvent extends TimelineRecord {
  readonly stamp: number;
  readonly process: string;
}

/** Which events are wanted; without a field, all of them. */
export interface TimelineFilter {
  /** Key of a request. */
  readonly request?: string;
  /** Task id, or the name of a workload for all of its tasks. */
  readonly task?: string;
  /** Configuration version. */
  readonly version?: number;
}

/** Returns a record in the common form. */
export function toTimelineRecord(record: TimelineRecord | PlainRecord): TimelineRecord {
  if ('subject' in record) return record;
  const {kind: step, task, version, attempt, host, workload, detail} = record;
  const more = {
    ...(host !== undefined && {peer: host}),
    ...(attempt !== undefined && {attempt}),
    ...(detail !== undefined && {detail}),
  };
  if (version !== undefined) return {subject: 'configuration', id: `${version}`, step, ...more};
  const id = task ?? workload;
  if (id !== undefined) return {subject: 'task', id, step, ...more};
  return {subject: 'process', id: '', step, ...more};
}

/** Tells whether an event passes a filter. */
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

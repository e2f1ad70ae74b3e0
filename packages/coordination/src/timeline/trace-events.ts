import {getStampTime} from './hybrid-clock.js';
import type {TimelineEvent} from './timeline-event.js';

/** One event of the Trace Event Format, which the trace viewers of browsers read. */
export interface TraceEvent {
  readonly name: string;
  readonly cat: string;
  /** Phase: `M` metadata, `i` instant, `b`, `n` and `e` start, step and end of an asynchronous span. */
  readonly ph: 'M' | 'i' | 'b' | 'n' | 'e';
  /** Time in microseconds since the first event. */
  readonly ts: number;
  readonly pid: number;
  readonly tid: number;
  readonly id?: string;
  /** Scope of an instant event: `p` is the process. */
  readonly s?: 'p';
  readonly args: Readonly<Record<string, unknown>>;
}

/** Contents of a trace-event file. */
export interface TraceFile {
  readonly displayTimeUnit: 'ms';
  readonly traceEvents: readonly TraceEvent[];
}

/** Converts merged events to a trace with a track per process and a span per request, task or version. */
export function toTraceFile(events: readonly TimelineEvent[]): TraceFile {
  const processes = [...new Set(events.map(event => event.process))].sort();
  const start = events[0] ? getStampTime(events[0].stamp) : 0;
  const traceEvents: TraceEvent[] = processes.map((name, index) => ({
    name: 'process_name',
    cat: '__metadata',
    ph: 'M',
    ts: 0,
    pid: index + 1,
    tid: 0,
    args: {name},
  }));
  const lastIndexes = new Map(events.map((event, index) => [getSpanId(event), index]));
  const startedSpans = new Set<string>();
  events.forEach((event, index) => {
    const {stamp, process, subject, id, step, ...args} = event;
    const sharedFields = {
      ts: Math.round((getStampTime(stamp) - start) * 1000),
      pid: processes.indexOf(process) + 1,
      tid: 0,
      cat: subject,
      args: {...args, stamp},
    };
    traceEvents.push({name: step, ph: 'i', s: 'p', ...sharedFields});
    if (id === '') return;
    const life = getSpanId(event);
    const name = `${subject} ${id}`;
    if (!startedSpans.has(life)) traceEvents.push({name, ph: 'b', id: life, ...sharedFields});
    startedSpans.add(life);
    if (lastIndexes.get(life) === index)
      traceEvents.push({name, ph: 'e', id: life, ...sharedFields});
  });
  return {displayTimeUnit: 'ms', traceEvents};
}

/** Returns the id of the span of a request, task or version inside one process. */
function getSpanId(event: TimelineEvent): string {
  return `${event.process}/${event.subject}/${event.id}`;
}

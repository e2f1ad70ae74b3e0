import {
  checks,
  getPromiseId,
  History,
  type HistoryEvent,
  type PromiseName,
  promises,
  type Violation,
} from '../histories/index.js';

/** Result of the check of one promise in one run. */
export interface PromiseResult {
  readonly promise: PromiseName;
  /** Number of observations that could have broken the promise. */
  readonly checked: number;
  /** What was observed, as text. */
  readonly seen: string;
  readonly violations: readonly Violation[];
}

/** Checks a recorded run against every promise. */
export function getPromiseResults(events: readonly HistoryEvent[]): readonly PromiseResult[] {
  const history = new History(events);
  return promises.map(promise => {
    const {checked, seen} = summarizers[promise](history);
    return {promise, checked, seen, violations: checks[promise](history)};
  });
}

/** Returns whether a promise was checked at least once and not broken. */
export function isKept(result: PromiseResult): boolean {
  return result.checked > 0 && result.violations.length === 0;
}

/** Returns a text table with one line per promise. */
export function formatResults(title: string, results: readonly PromiseResult[]): string {
  const lines = results.map(result => {
    const id = getPromiseId(result.promise).padEnd(3);
    const name = result.promise.padEnd(23);
    const broken = result.violations.length;
    const verdict = broken > 0 ? `BROKEN ${broken}` : result.checked > 0 ? 'kept' : 'NOT CHECKED';
    return `${id} ${name} ${String(result.checked).padStart(7)}  ${verdict.padEnd(11)} ${result.seen}`;
  });
  return [title, '    promise                 checked  result      seen', ...lines].join('\n');
}

type PromiseSummarizer = (history: History) => {readonly checked: number; readonly seen: string};

const summarizers: Readonly<Record<PromiseName, PromiseSummarizer>> = {
  'host-limits': history => {
    const runs = history.select('run-started').length;
    const exchanges = history.select('exchange-started').length;
    return {checked: runs + exchanges, seen: `${runs} task starts, ${exchanges} exchanges`};
  },
  'single-placement': history => {
    const runs = history.select('run-started');
    const tasks = new Set(runs.map(event => event.task)).size;
    return {checked: runs.length, seen: `${runs.length} runs of ${tasks} tasks`};
  },
  'resume-once': history => {
    const ends = history.select('run-ended');
    const evicted = ends.filter(event => event.end === 'checkpointed').length;
    const lost = ends.filter(event => event.end === 'lost').length;
    return {checked: evicted, seen: `${evicted} evictions with checkpoint, ${lost} runs lost`};
  },
  'whole-own-answer': history => {
    const answered = history.select('request-answered').filter(e => e.outcome === 'answered');
    const bytes = answered.reduce((total, event) => total + event.body.length, 0);
    return {checked: answered.length, seen: `${answered.length} answers, ${bytes} bytes`};
  },
  'not-run-is-true': history => {
    const answers = history.select('request-answered');
    const notRun = answers.filter(event => event.outcome === 'not-run').length;
    return {checked: notRun, seen: `${notRun} requests answered not-run`};
  },
  'at-most-once': history => {
    const once = history.select('request-submitted').filter(event => !event.idempotent);
    const answers = history.select('request-answered').filter(e => e.outcome === 'unknown').length;
    return {checked: once.length, seen: `${once.length} requests, ${answers} answered unknown`};
  },
  'drained-no-new-work': history => {
    const leaving = history.select('host-leaving');
    const since = leaving[0]?.at ?? Infinity;
    const starts = [...history.select('exchange-started'), ...history.select('run-started')];
    const later = starts.filter(event => event.at > since).length;
    return {checked: later, seen: `${leaving.length} hosts drained, ${later} starts after that`};
  },
  'graceful-shutdown': history => {
    const stops = history.select('shutdown-began');
    const open = stops.reduce((total, stop) => total + countOpenRequests(history, stop.at), 0);
    return {checked: open, seen: `${stops.length} shutdowns with ${open} requests in flight`};
  },
  'configuration-in-force': history => {
    const views = history.select('configuration-in-force');
    const accepted = history.select('configuration-accepted').length;
    return {checked: views.length, seen: `${accepted} changes, ${views.length} reported versions`};
  },
};

function countOpenRequests(history: History, at: number): number {
  const open = new Set<string>();
  for (const event of history.events) {
    if (event.at > at) break;
    if (event.kind === 'request-submitted') open.add(event.request);
    if (event.kind === 'request-answered') open.delete(event.request);
    if (event.kind === 'request-abandoned') open.delete(event.request);
  }
  return open.size;
}

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
  /** Number of events that could have broken the promise; 0 when the run did not test it. */
  readonly checkedCount: number;
  /** Counts of the observed events, as text for the report. */
  readonly observed: string;
  readonly violations: readonly Violation[];
}

/** Checks a recorded run against every promise. */
export function getPromiseResults(events: readonly HistoryEvent[]): readonly PromiseResult[] {
  const history = new History(events);
  return promises.map(promise => {
    const {checkedCount, observed} = summarizers[promise](history);
    return {promise, checkedCount, observed, violations: checks[promise](history)};
  });
}

/** Returns whether a promise was checked at least once and not broken. */
export function isKept(result: PromiseResult): boolean {
  return result.checkedCount > 0 && result.violations.length === 0;
}

/** Returns a text table with one line per promise. */
export function formatResults(title: string, results: readonly PromiseResult[]): string {
  const lines = results.map(result => {
    const id = getPromiseId(result.promise).padEnd(3);
    const name = result.promise.padEnd(23);
    const broken = result.violations.length;
    const verdict =
      broken > 0 ? `BROKEN ${broken}` : result.checkedCount > 0 ? 'kept' : 'NOT CHECKED';
    return `${id} ${name} ${String(result.checkedCount).padStart(7)}  ${verdict.padEnd(11)} ${result.observed}`;
  });
  return [title, '    promise                 checked  result      seen', ...lines].join('\n');
}

type PromiseSummarizer = (history: History) => {
  readonly checkedCount: number;
  readonly observed: string;
};

const summarizers: Readonly<Record<PromiseName, PromiseSummarizer>> = {
  'host-limits': history => {
    const runs = history.select('run-started').length;
    const exchanges = history.select('exchange-started').length;
    return {
      checkedCount: runs + exchanges,
      observed: `${runs} task starts, ${exchanges} exchanges`,
    };
  },
  'single-placement': history => {
    const runs = history.select('run-started');
    const tasks = new Set(runs.map(event => event.task)).size;
    return {checkedCount: runs.length, observed: `${runs.length} runs of ${tasks} tasks`};
  },
  'resume-once': history => {
    const ends = history.select('run-ended');
    const evicted = ends.filter(event => event.end === 'checkpointed').length;
    const lost = ends.filter(event => event.end === 'lost').length;
    return {
      checkedCount: evicted,
      observed: `${evicted} evictions with checkpoint, ${lost} runs lost`,
    };
  },
  'whole-own-answer': history => {
    const answered = history.select('request-answered').filter(e => e.outcome === 'answered');
    const bytes = answered.reduce((total, event) => total + event.body.length, 0);
    return {checkedCount: answered.length, observed: `${answered.length} answers, ${bytes} bytes`};
  },
  'not-run-is-true': history => {
    const answers = history.select('request-answered');
    const notRunCount = answers.filter(event => event.outcome === 'not-run').length;
    return {checkedCount: notRunCount, observed: `${notRunCount} requests answered not-run`};
  },
  'at-most-once': history => {
    const nonIdempotent = history.select('request-submitted').filter(event => !event.idempotent);
    const unknownCount = history
      .select('request-answered')
      .filter(e => e.outcome === 'unknown').length;
    return {
      checkedCount: nonIdempotent.length,
      observed: `${nonIdempotent.length} requests, ${unknownCount} answered unknown`,
    };
  },
  'drained-no-new-work': history => {
    const leaving = history.select('host-leaving');
    const firstLeavingAt = leaving[0]?.at ?? Infinity;
    const starts = [...history.select('exchange-started'), ...history.select('run-started')];
    const laterCount = starts.filter(event => event.at > firstLeavingAt).length;
    return {
      checkedCount: laterCount,
      observed: `${leaving.length} hosts drained, ${laterCount} starts after that`,
    };
  },
  'graceful-shutdown': history => {
    const stops = history.select('shutdown-began');
    const openCount = stops.reduce((total, stop) => total + countOpenRequests(history, stop.at), 0);
    return {
      checkedCount: openCount,
      observed: `${stops.length} shutdowns with ${openCount} requests in flight`,
    };
  },
  'configuration-in-force': history => {
    const reported = history.select('configuration-in-force');
    const accepted = history.select('configuration-accepted').length;
    return {
      checkedCount: reported.length,
      observed: `${accepted} changes, ${reported.length} reported versions`,
    };
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

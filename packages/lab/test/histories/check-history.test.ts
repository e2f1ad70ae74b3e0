import t from 'tap';
import {checkHistory} from '../../src/histories/check-history.js';
import type {HistoryEvent} from '../../src/histories/history-event.js';
import {promises, type PromiseName} from '../../src/histories/promise.js';

const smallResources = {processors: 1000, memoryMb: 1000, accelerators: 0, slots: 1};
const request = (at: number, name: string, idempotent = false): HistoryEvent => ({
  kind: 'request-submitted',
  at,
  request: name,
  entry: 'e1',
  service: 's',
  idempotent,
});
const answer = (
  at: number,
  name: string,
  outcome: 'answered' | 'not-run' | 'unknown',
  body = '',
): HistoryEvent => ({kind: 'request-answered', at, request: name, outcome, status: 200, body});
const startExchange = (at: number, name: string, exchange: string, host = 'h1'): HistoryEvent => ({
  kind: 'exchange-started',
  at,
  request: name,
  host,
  exchange,
});
const end = (at: number, exchange: string, body: string): HistoryEvent => ({
  kind: 'exchange-ended',
  at,
  exchange,
  body,
});
const cut = (
  at: number,
  exchange: string,
  reason: 'aborted' | 'killed' | 'deadline',
): HistoryEvent => ({kind: 'exchange-ended', at, exchange, cut: reason});
const run = (at: number, attempt: number, host: string, checkpoint?: string): HistoryEvent => ({
  kind: 'run-started',
  at,
  task: 'b/0',
  attempt,
  host,
  resources: smallResources,
  checkpoint,
});
const endRun = (
  at: number,
  attempt: number,
  host: string,
  how: 'finished' | 'checkpointed' | 'stopped' | 'lost',
  checkpoint?: string,
): HistoryEvent => ({kind: 'run-ended', at, task: 'b/0', attempt, host, end: how, checkpoint});
const reachVersion = (
  at: number,
  process: string,
  version: number,
  digest = `d${version}`,
): HistoryEvent => ({
  kind: 'configuration-in-force',
  at,
  process,
  version,
  digest,
});
const acceptChange = (at: number, version: number, changeId: string): HistoryEvent => ({
  kind: 'configuration-accepted',
  at,
  version,
  changeId,
});
const started: HistoryEvent = {kind: 'process-started', at: 0, process: 'e1'};
const historyEnded: HistoryEvent = {kind: 'history-ended', at: 100_000};
const hostLeaving: HistoryEvent = {kind: 'host-leaving', at: 10, host: 'h1'};
const capacity: HistoryEvent = {kind: 'host-capacity', at: 0, host: 'h1', capacity: smallResources};
const beginShutdown = (process: string): HistoryEvent => ({
  kind: 'shutdown-began',
  at: 20,
  process,
});
const exitProcess = (process: string): HistoryEvent => ({kind: 'process-exited', at: 90, process});

interface HistoryCase {
  readonly name: string;
  readonly broken?: PromiseName;
  readonly events: readonly HistoryEvent[];
}

const cases: readonly HistoryCase[] = [
  {
    name: 'an answered request',
    events: [
      request(1, 'r'),
      startExchange(2, 'r', 'x'),
      end(3, 'x', 'b'),
      answer(4, 'r', 'answered', 'b'),
    ],
  },
  {
    name: 'a non-idempotent request that runs twice',
    broken: 'at-most-once',
    events: [request(1, 'r'), startExchange(2, 'r', 'x'), startExchange(3, 'r', 'y', 'h2')],
  },
  {
    name: 'an idempotent request that runs twice',
    events: [request(1, 'r', true), startExchange(2, 'r', 'x'), startExchange(3, 'r', 'y', 'h2')],
  },
  {
    name: 'a request answered not-run that had run',
    broken: 'not-run-is-true',
    events: [request(1, 'r'), startExchange(2, 'r', 'x'), answer(3, 'r', 'not-run')],
  },
  {
    name: 'a request answered not-run that runs later',
    broken: 'not-run-is-true',
    events: [request(1, 'r'), answer(3, 'r', 'not-run'), startExchange(9, 'r', 'x')],
  },
  {
    name: 'the answer to another request',
    broken: 'whole-own-answer',
    events: [
      request(1, 'r'),
      request(1, 'q'),
      startExchange(2, 'q', 'x'),
      end(3, 'x', 'b'),
      answer(4, 'r', 'answered', 'b'),
    ],
  },
  {
    name: 'an answer cut short',
    broken: 'whole-own-answer',
    events: [
      request(1, 'r'),
      startExchange(2, 'r', 'x'),
      end(3, 'x', 'body'),
      answer(4, 'r', 'answered', 'bo'),
    ],
  },
  {
    name: 'two answers to one caller',
    broken: 'whole-own-answer',
    events: [request(1, 'r'), answer(4, 'r', 'unknown'), answer(5, 'r', 'not-run')],
  },
  {
    name: 'a run after the end of the previous one',
    events: [run(1, 1, 'h1'), endRun(2, 1, 'h1', 'lost'), run(3, 2, 'h2')],
  },
  {
    name: 'two runs of one task',
    broken: 'single-placement',
    events: [run(1, 1, 'h1'), run(3, 2, 'h2')],
  },
  {
    name: 'a resume from the checkpoint',
    events: [
      run(1, 1, 'h1'),
      endRun(2, 1, 'h1', 'checkpointed', 'c'),
      run(3, 2, 'h2', 'c'),
      historyEnded,
    ],
  },
  {
    name: 'a second resume from the same checkpoint after the run was lost',
    events: [
      run(1, 1, 'h1'),
      endRun(2, 1, 'h1', 'checkpointed', 'c'),
      run(3, 2, 'h2', 'c'),
      endRun(4, 2, 'h2', 'lost'),
      run(5, 3, 'h1', 'c'),
      historyEnded,
    ],
  },
  {
    name: 'a resume without the checkpoint',
    broken: 'resume-once',
    events: [
      run(1, 1, 'h1'),
      endRun(2, 1, 'h1', 'checkpointed', 'c'),
      run(3, 2, 'h2'),
      historyEnded,
    ],
  },
  {
    name: 'evicted work that never resumes',
    broken: 'resume-once',
    events: [run(1, 1, 'h1'), endRun(2, 1, 'h1', 'checkpointed', 'c'), historyEnded],
  },
  {
    name: 'a cancelled task that does not resume',
    events: [
      run(1, 1, 'h1'),
      endRun(2, 1, 'h1', 'checkpointed', 'c'),
      {kind: 'task-cancelled', at: 3, task: 'b/0'},
      historyEnded,
    ],
  },
  {
    name: 'a run after the task was recorded as finished',
    broken: 'resume-once',
    events: [
      run(1, 1, 'h1'),
      endRun(2, 1, 'h1', 'finished'),
      {kind: 'task-recorded-finished', at: 3, task: 'b/0'},
      run(9, 2, 'h1'),
    ],
  },
  {
    name: 'runs that use exactly the capacity, one after the other',
    events: [capacity, run(1, 1, 'h1'), endRun(2, 1, 'h1', 'finished'), run(2, 2, 'h1')],
  },
  {
    name: 'runs beyond the capacity',
    broken: 'host-limits',
    events: [capacity, run(1, 1, 'h1'), {...run(2, 2, 'h1'), task: 'b/1'} as HistoryEvent],
  },
  {
    name: 'exchanges beyond the slots',
    broken: 'host-limits',
    events: [capacity, startExchange(1, 'q', 'x'), startExchange(2, 'r', 'y')],
  },
  {name: 'work within the drain time', events: [hostLeaving, startExchange(3_000, 'r', 'x')]},
  {
    name: 'an exchange on a host that left',
    broken: 'drained-no-new-work',
    events: [hostLeaving, startExchange(6_000, 'r', 'x')],
  },
  {
    name: 'a run on a host that left',
    broken: 'drained-no-new-work',
    events: [hostLeaving, run(6_000, 1, 'h1')],
  },
  {
    name: 'work on a host that returned',
    events: [
      hostLeaving,
      {kind: 'host-returned', at: 5_000, host: 'h1'},
      startExchange(6_000, 'r', 'x'),
    ],
  },
  {
    name: 'a shutdown that answers all',
    events: [request(1, 'r'), beginShutdown('e1'), answer(30, 'r', 'not-run'), exitProcess('e1')],
  },
  {
    name: 'an exit with an open request',
    broken: 'graceful-shutdown',
    events: [request(1, 'r'), beginShutdown('e1'), exitProcess('e1')],
  },
  {
    name: 'an agent that aborts its exchange',
    broken: 'graceful-shutdown',
    events: [
      request(1, 'r'),
      startExchange(2, 'r', 'x'),
      beginShutdown('h1'),
      cut(30, 'x', 'aborted'),
    ],
  },
  {
    name: 'an unknown outcome during a shutdown',
    broken: 'graceful-shutdown',
    events: [
      request(1, 'r'),
      startExchange(2, 'r', 'x'),
      beginShutdown('e1'),
      answer(30, 'r', 'unknown'),
    ],
  },
  {
    name: 'a backend server killed during a shutdown',
    events: [
      request(1, 'r'),
      startExchange(2, 'r', 'x'),
      beginShutdown('e1'),
      cut(25, 'x', 'killed'),
      answer(30, 'r', 'unknown'),
      exitProcess('e1'),
    ],
  },
  {
    name: 'a version in force',
    events: [started, acceptChange(1, 1, 'c1'), reachVersion(9, 'e1', 1), historyEnded],
  },
  {
    name: 'a version that arrives late',
    broken: 'configuration-in-force',
    events: [started, acceptChange(1, 1, 'c1'), reachVersion(9_000, 'e1', 1), historyEnded],
  },
  {
    name: 'a late version while faults are active',
    events: [
      started,
      acceptChange(1, 1, 'c1'),
      {kind: 'faults-over', at: 8_000},
      reachVersion(9_000, 'e1', 1),
      historyEnded,
    ],
  },
  {
    name: 'a process that goes back to a lower version',
    broken: 'configuration-in-force',
    events: [reachVersion(1, 'e1', 2), reachVersion(2, 'e1', 1)],
  },
  {
    name: 'different contents of one version',
    broken: 'configuration-in-force',
    events: [reachVersion(1, 'e1', 2), reachVersion(2, 'e2', 2, 'other')],
  },
  {
    name: 'two changes accepted as one version',
    broken: 'configuration-in-force',
    events: [acceptChange(1, 1, 'c1'), acceptChange(2, 1, 'c2')],
  },
  {
    name: 'an accepted change that is not in the log',
    broken: 'configuration-in-force',
    events: [acceptChange(1, 1, 'c1'), {kind: 'configuration-log', at: 5, changeIds: ['c2']}],
  },
  {
    name: 'a refused change that is in the log',
    broken: 'configuration-in-force',
    events: [
      {kind: 'configuration-refused', at: 2, changeId: 'c2'},
      {kind: 'configuration-log', at: 5, changeIds: ['c2']},
    ],
  },
  {
    name: 'a lost connection of the entry during a shutdown, before any exchange',
    events: [
      request(1, 'r'),
      beginShutdown('e1'),
      {kind: 'connection-lost', at: 25, between: ['e1', 'h1']},
      answer(30, 'r', 'unknown'),
      exitProcess('e1'),
    ],
  },
  {
    name: 'a lost connection to a host that does not run the exchange',
    broken: 'graceful-shutdown',
    events: [
      request(1, 'r'),
      startExchange(2, 'r', 'x'),
      beginShutdown('e1'),
      {kind: 'connection-lost', at: 25, between: ['e1', 'h2']},
      answer(30, 'r', 'unknown'),
      exitProcess('e1'),
    ],
  },
];

void t.test('each check reports the histories that break its promise, and only those', async t => {
  for (const historyCase of cases) {
    const found = new Set(checkHistory(historyCase.events).map(violation => violation.promise));
    t.same([...found], historyCase.broken ? [historyCase.broken] : [], historyCase.name);
  }
});

void t.test(
  'every promise has a history that breaks it, so that no check passes everything',
  async t => {
    const covered = new Set(cases.map(historyCase => historyCase.broken));
    for (const promise of promises) t.ok(covered.has(promise), promise);
  },
);

import t from 'tap';
import {formatResults, getPromiseResults, isKept} from '../../src/demo/index.js';
import type {HistoryEvent} from '../../src/histories/index.js';

const request = 'r1';
const started: HistoryEvent[] = [
  {
    at: 1,
    kind: 'request-submitted',
    request,
    entry: 'entry-1',
    service: 'transfer',
    idempotent: false,
  },
  {at: 2, kind: 'exchange-started', request, host: 'host-1', exchange: 'host-1:1'},
  {at: 3, kind: 'exchange-ended', exchange: 'host-1:1', body: 'own'},
];
const cases = [
  {name: 'kept', body: 'own', isRunTwice: false, promise: 'whole-own-answer', shouldBeKept: true},
  {
    name: 'answer to another request',
    body: 'other',
    isRunTwice: false,
    promise: 'whole-own-answer',
    shouldBeKept: false,
  },
  {name: 'run twice', body: 'own', isRunTwice: true, promise: 'at-most-once', shouldBeKept: false},
  {
    name: 'never checked',
    body: 'own',
    isRunTwice: false,
    promise: 'resume-once',
    shouldBeKept: false,
  },
] as const;

void t.test('a promise that was broken or never checked does not count as kept', async t => {
  for (const {name, body, isRunTwice, promise, shouldBeKept} of cases) {
    const events: HistoryEvent[] = [
      ...started,
      {at: 4, kind: 'request-answered', request, outcome: 'answered', status: 200, body},
    ];
    if (isRunTwice) {
      events.push({at: 5, kind: 'exchange-started', request, host: 'host-2', exchange: 'host-2:1'});
    }
    const results = getPromiseResults(events);
    const result = results.find(entry => entry.promise === promise);
    t.equal(result !== undefined && isKept(result), shouldBeKept, name);
    t.match(formatResults(name, results), /P3 +resume-once +0 +NOT CHECKED/);
  }
});

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
  {name: 'kept', body: 'own', again: false, promise: 'whole-own-answer', kept: true},
  {name: 'foreign answer', body: 'other', again: false, promise: 'whole-own-answer', kept: false},
  {name: 'run twice', body: 'own', again: true, promise: 'at-most-once', kept: false},
  {name: 'never checked', body: 'own', again: false, promise: 'resume-once', kept: false},
] as const;

void t.test('a promise that was broken or never checked does not count as kept', async t => {
  for (const {name, body, again, promise, kept} of cases) {
    const events: HistoryEvent[] = [
      ...started,
      {at: 4, kind: 'request-answered', request, outcome: 'answered', status: 200, body},
    ];
    if (again) {
      events.push({at: 5, kind: 'exchange-started', request, host: 'host-2', exchange: 'host-2:1'});
    }
    const results = getPromiseResults(events);
    const result = results.find(entry => entry.promise === promise);
    t.equal(result !== undefined && isKept(result), kept, name);
    t.match(formatResults(name, results), /P3 +resume-once +0 +NOT CHECKED/);
  }
});

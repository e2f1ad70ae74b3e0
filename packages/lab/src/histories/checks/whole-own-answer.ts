import {groupBy, type History} from '../history.js';
import type {Violation} from '../promise.js';

/** P4: a request is answered once, with exactly the bytes that a backend server sent as the answer to this request. */
export function checkWholeOwnAnswer(history: History): Violation[] {
  const requestByExchange = new Map(
    history.select('exchange-started').map(e => [e.exchange, e.request]),
  );
  const bodiesByRequest = new Map<string, Set<string>>();
  for (const ended of history.select('exchange-ended')) {
    const request = requestByExchange.get(ended.exchange);
    if (request === undefined || ended.body === undefined) continue;
    const bodies = bodiesByRequest.get(request) ?? new Set();
    bodiesByRequest.set(request, bodies.add(ended.body));
  }
  const violations: Violation[] = [];
  for (const [request, answers] of groupBy(history.select('request-answered'), e => e.request)) {
    const add = (at: number, detail: string) =>
      violations.push({promise: 'whole-own-answer', at, subject: request, detail});
    if (answers.length > 1) add(answers[1]!.at, `answered ${answers.length} times`);
    for (const answer of answers) {
      if (answer.outcome !== 'answered') continue;
      const backendBodies = bodiesByRequest.get(request);
      if (!backendBodies?.has(answer.body))
        add(answer.at, 'the body is not a complete answer to this request');
    }
  }
  return violations;
}

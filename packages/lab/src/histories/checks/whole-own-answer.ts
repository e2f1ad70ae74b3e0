import {groupBy, type History} from '../history.js';
import type {Violation} from '../promise.js';

/** P4: an answered request carries, byte for byte, an answer that a backend server gave to this request, once. */
export function checkWholeOwnAnswer(history: History): Violation[] {
  const requestOf = new Map(history.select('exchange-started').map(e => [e.exchange, e.request]));
  const bodies = new Map<string, Set<string>>();
  for (const ended of history.select('exchange-ended')) {
    const request = requestOf.get(ended.exchange);
    if (request === undefined || ended.body === undefined) continue;
    const known = bodies.get(request) ?? new Set();
    bodies.set(request, known.add(ended.body));
  }
  const violations: Violation[] = [];
  for (const [request, answers] of groupBy(history.select('request-answered'), e => e.request)) {
    const add = (at: number, detail: string) =>
      violations.push({promise: 'whole-own-answer', at, subject: request, detail});
    if (answers.length > 1) add(answers[1]!.at, `answered ${answers.length} times`);
    for (const answer of answers) {
      if (answer.outcome !== 'answered') continue;
      const own = bodies.get(request);
      if (!own?.has(answer.body)) add(answer.at, 'the body is not a whole answer to this request');
    }
  }
  return violations;
}

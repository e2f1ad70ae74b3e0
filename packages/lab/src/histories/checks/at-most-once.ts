import {groupBy, type History} from '../history.js';
import type {Violation} from '../promise.js';

/** P6: a non-idempotent request starts at most one exchange with a backend server. */
export function checkAtMostOnce(history: History): Violation[] {
  const nonIdempotent = new Set(
    history
      .select('request-submitted')
      .filter(event => !event.idempotent)
      .map(event => event.request),
  );
  const violations: Violation[] = [];
  for (const [request, exchanges] of groupBy(history.select('exchange-started'), e => e.request)) {
    if (!nonIdempotent.has(request) || exchanges.length < 2) continue;
    violations.push({
      promise: 'at-most-once',
      at: exchanges[1]!.at,
      subject: request,
      detail: `ran ${exchanges.length} times, on ${exchanges.map(e => e.host).join(', ')}`,
    });
  }
  return violations;
}

import {groupBy, type History} from '../history.js';
import type {Violation} from '../promise.js';

/** P5: a request that is answered `not-run` never starts an exchange, neither before nor after the answer. */
export function checkNotRunIsTrue(history: History): Violation[] {
  const exchanges = groupBy(history.select('exchange-started'), event => event.request);
  const violations: Violation[] = [];
  for (const answer of history.select('request-answered')) {
    const first = exchanges.get(answer.request)?.[0];
    if (answer.outcome !== 'not-run' || !first) continue;
    violations.push({
      promise: 'not-run-is-true',
      at: Math.max(answer.at, first.at),
      subject: answer.request,
      detail: `answered not-run at ${answer.at}, exchange on ${first.host} at ${first.at}`,
    });
  }
  return violations;
}

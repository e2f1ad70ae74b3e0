import {type History} from '../history.js';
import type {Violation} from '../promise.js';

/**
 * Time after which a leaving host gets no new work: the announcement is valid for 3 s, and a request may wait
 * for 50 ms at the agent. The promise says a few seconds.
 */
export const drainWithinMs = 4_000;

/** P7: a host that is leaving starts no exchange and no run after a few seconds, until it returns. */
export function checkDrainedNoNewWork(history: History, withinMs = drainWithinMs): Violation[] {
  const leavingSince = new Map<string, number>();
  const violations: Violation[] = [];
  for (const event of history.events) {
    if (event.kind === 'host-leaving') {
      if (!leavingSince.has(event.host)) leavingSince.set(event.host, event.at);
    } else if (event.kind === 'host-returned') {
      leavingSince.delete(event.host);
    } else if (event.kind === 'exchange-started' || event.kind === 'run-started') {
      const since = leavingSince.get(event.host);
      if (since === undefined || event.at <= since + withinMs) continue;
      const work = event.kind === 'exchange-started' ? event.request : event.task;
      violations.push({
        promise: 'drained-no-new-work',
        at: event.at,
        subject: event.host,
        detail: `${work} began ${event.at - since} ms after the host began to leave`,
      });
    }
  }
  return violations;
}

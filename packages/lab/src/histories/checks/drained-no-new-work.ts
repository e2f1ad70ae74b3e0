import {type History} from '../history.js';
import type {Violation} from '../promise.js';

/**
 * Time in milliseconds after which a leaving host must get no new work. An announcement is valid for 3 s and a request
 * may wait for 50 ms at the agent; the promise allows a few seconds.
 */
export const drainLimitMs = 4_000;

/** P7: a leaving host starts no exchange and no run after `timeLimitMs`, until it returns. */
export function checkDrainedNoNewWork(history: History, timeLimitMs = drainLimitMs): Violation[] {
  const leavingSince = new Map<string, number>();
  const violations: Violation[] = [];
  for (const event of history.events) {
    if (event.kind === 'host-leaving') {
      if (!leavingSince.has(event.host)) leavingSince.set(event.host, event.at);
    } else if (event.kind === 'host-returned') {
      leavingSince.delete(event.host);
    } else if (event.kind === 'exchange-started' || event.kind === 'run-started') {
      const since = leavingSince.get(event.host);
      if (since === undefined || event.at <= since + timeLimitMs) continue;
      const work = event.kind === 'exchange-started' ? event.request : event.task;
      violations.push({
        promise: 'drained-no-new-work',
        at: event.at,
        subject: event.host,
        detail: `${work} started ${event.at - since} ms after the host started to leave`,
      });
    }
  }
  return violations;
}

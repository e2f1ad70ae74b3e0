import {type History} from '../history.js';
import type {HistoryEventOf} from '../history-event.js';
import type {Violation} from '../promise.js';

/** P2: at most one run of a task is active at any time, over all workers. */
export function checkSinglePlacement(history: History): Violation[] {
  const openRunsByTask = new Map<string, Map<string, HistoryEventOf<'run-started'>>>();
  const violations: Violation[] = [];
  for (const event of history.events) {
    if (event.kind !== 'run-started' && event.kind !== 'run-ended') continue;
    const runs = openRunsByTask.get(event.task) ?? new Map<string, HistoryEventOf<'run-started'>>();
    openRunsByTask.set(event.task, runs);
    const key = `${event.host}#${event.attempt}`;
    if (event.kind === 'run-ended') {
      runs.delete(key);
      continue;
    }
    const overlapping = runs.values().next().value;
    if (overlapping) {
      violations.push({
        promise: 'single-placement',
        at: event.at,
        subject: event.task,
        detail: `attempt ${event.attempt} on ${event.host} while attempt ${overlapping.attempt} runs on ${overlapping.host}`,
      });
    }
    runs.set(key, event);
  }
  return violations;
}

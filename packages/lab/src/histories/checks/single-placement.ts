import {type History} from '../history.js';
import type {HistoryEventOf} from '../history-event.js';
import type {Violation} from '../promise.js';

/** P2: the runs of a task at the workers never overlap. */
export function checkSinglePlacement(history: History): Violation[] {
  const open = new Map<string, Map<string, HistoryEventOf<'run-started'>>>();
  const violations: Violation[] = [];
  for (const event of history.events) {
    if (event.kind !== 'run-started' && event.kind !== 'run-ended') continue;
    const runs = open.get(event.task) ?? new Map<string, HistoryEventOf<'run-started'>>();
    open.set(event.task, runs);
    const key = `${event.host}#${event.attempt}`;
    if (event.kind === 'run-ended') {
      runs.delete(key);
      continue;
    }
    const other = runs.values().next().value;
    if (other) {
      violations.push({
        promise: 'single-placement',
        at: event.at,
        subject: event.task,
        detail: `attempt ${event.attempt} on ${event.host} while attempt ${other.attempt} runs on ${other.host}`,
      });
    }
    runs.set(key, event);
  }
  return violations;
}

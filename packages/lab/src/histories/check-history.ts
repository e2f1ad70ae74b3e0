import {
  checkAtMostOnce,
  checkConfigurationInForce,
  checkDrainedNoNewWork,
  checkGracefulShutdown,
  checkHostLimits,
  checkNotRunIsTrue,
  checkResumeOnce,
  checkSinglePlacement,
  checkWholeOwnAnswer,
} from './checks/index.js';
import type {HistoryEvent} from './history-event.js';
import {History} from './history.js';
import type {PromiseName, Violation} from './promise.js';

/** The check of each promise; it returns the violations that it finds in a recorded history. */
export const checks: Readonly<Record<PromiseName, (history: History) => Violation[]>> = {
  'host-limits': history => checkHostLimits(history),
  'single-placement': history => checkSinglePlacement(history),
  'resume-once': history => checkResumeOnce(history),
  'whole-own-answer': history => checkWholeOwnAnswer(history),
  'not-run-is-true': history => checkNotRunIsTrue(history),
  'at-most-once': history => checkAtMostOnce(history),
  'drained-no-new-work': history => checkDrainedNoNewWork(history),
  'graceful-shutdown': history => checkGracefulShutdown(history),
  'configuration-in-force': history => checkConfigurationInForce(history),
};

/** Checks recorded events against all promises and returns the violations; empty when all are kept. */
export function checkHistory(events: readonly HistoryEvent[]): Violation[] {
  const history = new History(events);
  return Object.values(checks).flatMap(check => check(history));
}

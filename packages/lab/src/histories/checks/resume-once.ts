import {type History} from '../history.js';
import type {HistoryEvent, HistoryEventOf} from '../history-event.js';
import type {Violation} from '../promise.js';

/**
 * Time in milliseconds within which an evicted task must run again, from the eviction or the end of the faults,
 * whichever is later.
 */
export const resumeLimitMs = 60_000;

/**
 * Minimum time in milliseconds between the end of a run and the end of the lease wait of 11.1 s. The wait starts at the
 * last granted heartbeat, which precedes the end of the run by at most 3 s plus the delivery time of the stop.
 */
const minRemainingLeaseWaitMs = 7_000;

interface Eviction {
  readonly event: HistoryEventOf<'run-ended'>;
  resumes: number;
  /** Whether the last resumed run ended without a newer checkpoint, so that the next run may use the same one. */
  isReusable: boolean;
}

/**
 * P3: after an eviction exactly one run resumes from its checkpoint. If that run is lost, another may resume from the
 * same checkpoint. If the ledger never received the checkpoint, because the agent died or was disconnected, the task
 * may start from an older one after the lease wait. A task that the ledger records as finished never runs again.
 */
export function checkResumeOnce(history: History, timeLimitMs = resumeLimitMs): Violation[] {
  const evictions = new Map<string, Eviction>();
  const finishedTasks = new Set<string>();
  const cancelled = new Set<string>();
  const recordedCheckpoints = new Map<string, string>();
  const violations: Violation[] = [];
  const add = (event: HistoryEvent, task: string, detail: string) =>
    violations.push({promise: 'resume-once', at: event.at, subject: task, detail});
  for (const event of history.events) {
    if (event.kind === 'checkpoint-recorded') {
      recordedCheckpoints.set(event.task, event.checkpoint);
    } else if (event.kind === 'task-cancelled') {
      cancelled.add(event.task);
      evictions.delete(event.task);
    } else if (event.kind === 'task-recorded-finished') {
      finishedTasks.add(event.task);
      evictions.delete(event.task);
    } else if (event.kind === 'run-started') {
      if (finishedTasks.has(event.task))
        add(event, event.task, 'runs again although it is recorded as finished');
      const eviction = evictions.get(event.task);
      if (!eviction) continue;
      const {at, checkpoint} = eviction.event;
      const mayUseOlderCheckpoint =
        recordedCheckpoints.get(event.task) !== checkpoint &&
        event.at >= at + minRemainingLeaseWaitMs;
      if (event.checkpoint !== checkpoint) {
        const from = event.checkpoint ?? 'nothing';
        const detail = `starts from ${from}, not from ${checkpoint}`;
        if (!mayUseOlderCheckpoint) add(event, event.task, detail);
      } else if (eviction.resumes > 0 && !eviction.isReusable) {
        add(event, event.task, `resumes again from ${event.checkpoint}`);
      }
      eviction.resumes++;
      eviction.isReusable = false;
    } else if (event.kind === 'run-ended') {
      const eviction = evictions.get(event.task);
      if (event.end === 'checkpointed' && !cancelled.has(event.task)) {
        evictions.set(event.task, {event, resumes: 0, isReusable: false});
      } else if (event.end === 'finished') {
        evictions.delete(event.task);
      } else if (eviction) {
        eviction.isReusable = true;
        if (event.checkpoint !== undefined) evictions.delete(event.task);
      }
    }
  }
  const latestEvictionAt = history.getEndedAt() - timeLimitMs;
  for (const [task, {event, resumes}] of evictions) {
    if (resumes === 0 && Math.max(event.at, history.getFaultsEndedAt()) < latestEvictionAt) {
      add(event, task, `evicted with ${event.checkpoint} and not resumed within ${timeLimitMs} ms`);
    }
  }
  return violations;
}

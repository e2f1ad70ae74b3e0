import {type History} from '../history.js';
import type {HistoryEvent, HistoryEventOf} from '../history-event.js';
import type {Violation} from '../promise.js';

/** Time after the end of the faults by which evicted work must run again. */
export const resumeWithinMs = 60_000;

/**
 * Earliest time after the end of a run at which the lease wait of 11.1 s may be over; it counts from the last
 * granted heartbeat, which is at most 3 s plus the way of the stop older than the end of the run.
 */
const earliestLeaseWaitMs = 7_000;

interface Eviction {
  readonly event: HistoryEventOf<'run-ended'>;
  resumes: number;
  /** Whether the last resume is over without a newer checkpoint, so that the checkpoint may be used again. */
  reusable: boolean;
}

/**
 * P3: after an eviction the next run starts from its checkpoint, and only one does. A run that is lost may be
 * repeated from the same checkpoint. When no report of the checkpoint reached the ledger, as its agent died or was
 * cut off, the task may start from an older one after the lease wait. A task that the ledger records as finished never runs again.
 */
export function checkResumeOnce(history: History, withinMs = resumeWithinMs): Violation[] {
  const evictions = new Map<string, Eviction>();
  const closed = new Set<string>();
  const cancelled = new Set<string>();
  const recorded = new Map<string, string>();
  const violations: Violation[] = [];
  const add = (event: HistoryEvent, task: string, detail: string) =>
    violations.push({promise: 'resume-once', at: event.at, subject: task, detail});
  for (const event of history.events) {
    if (event.kind === 'checkpoint-recorded') {
      recorded.set(event.task, event.checkpoint);
    } else if (event.kind === 'task-cancelled') {
      cancelled.add(event.task);
      evictions.delete(event.task);
    } else if (event.kind === 'task-recorded-finished') {
      closed.add(event.task);
      evictions.delete(event.task);
    } else if (event.kind === 'run-started') {
      if (closed.has(event.task)) add(event, event.task, 'runs again although it is finished');
      const eviction = evictions.get(event.task);
      if (!eviction) continue;
      const {at, checkpoint} = eviction.event;
      const isUnheard =
        recorded.get(event.task) !== checkpoint && event.at >= at + earliestLeaseWaitMs;
      if (event.checkpoint !== checkpoint) {
        const from = event.checkpoint ?? 'nothing';
        const detail = `starts from ${from}, not from ${checkpoint}`;
        if (!isUnheard) add(event, event.task, detail);
      } else if (eviction.resumes > 0 && !eviction.reusable) {
        add(event, event.task, `resumes again from ${event.checkpoint}`);
      }
      eviction.resumes++;
      eviction.reusable = false;
    } else if (event.kind === 'run-ended') {
      const eviction = evictions.get(event.task);
      if (event.end === 'checkpointed' && !cancelled.has(event.task)) {
        evictions.set(event.task, {event, resumes: 0, reusable: false});
      } else if (event.end === 'finished') {
        evictions.delete(event.task);
      } else if (eviction) {
        eviction.reusable = true;
        if (event.checkpoint !== undefined) evictions.delete(event.task);
      }
    }
  }
  const due = history.getEnd() - withinMs;
  for (const [task, {event, resumes}] of evictions) {
    if (resumes === 0 && Math.max(event.at, history.getQuietSince()) < due) {
      add(event, task, `evicted with ${event.checkpoint} and not resumed within ${withinMs} ms`);
    }
  }
  return violations;
}

import type {Clock} from '@chervilbeam/coordination';
import type {RecordStore} from './record-store.js';
import {cancelPrefix, progressPrefix, submissionPrefix, workPrefix} from './store-keys.js';
import {parseSubmission} from './stored-state.js';

/** Time in milliseconds for which a count is reused; each count lists all submissions. */
const maxCountAgeMs = 1_000;

/**
 * Counts pending submissions in the store, for the time in which no owner can be asked. Starts of tasks are not
 * stored, so a submission counts until its first task has ended.
 */
export class StoredBacklog {
  private countedAt = Number.NEGATIVE_INFINITY;
  private counts: Promise<ReadonlyMap<string, number> | undefined> = Promise.resolve(undefined);

  constructor(
    private readonly store: RecordStore,
    private readonly clock: Clock,
  ) {}

  /** Returns the number of pending submissions of a queue; undefined while the store does not answer. */
  async countPending(queue: string): Promise<number | undefined> {
    const now = this.clock.now();
    if (now - this.countedAt > maxCountAgeMs) {
      this.countedAt = now;
      this.counts = this.countAll();
    }
    const counts = await this.counts;
    return counts && (counts.get(queue) ?? 0);
  }

  private async countAll(): Promise<ReadonlyMap<string, number> | undefined> {
    const [work, progress] = await Promise.all([
      this.store.list(workPrefix),
      this.store.list(progressPrefix),
    ]);
    if (work.kind !== 'ok' || progress.kind !== 'ok') return undefined;
    const excluded = new Set(progress.records.map(({key}) => key.slice(progressPrefix.length)));
    for (const {key} of work.records) {
      if (key.startsWith(cancelPrefix)) excluded.add(key.slice(cancelPrefix.length));
    }
    const counts = new Map<string, number>();
    for (const {key, value} of work.records) {
      if (!key.startsWith(submissionPrefix)) continue;
      if (excluded.has(key.slice(submissionPrefix.length))) continue;
      const submission = parseSubmission(value);
      if (submission === undefined || submission.repetitions > 0) continue;
      counts.set(submission.queue, (counts.get(submission.queue) ?? 0) + 1);
    }
    return counts;
  }
}

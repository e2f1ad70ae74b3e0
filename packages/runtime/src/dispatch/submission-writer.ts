import type {CheckedDraft, Clock, Queue, Submission} from '@chervilbeam/coordination';
import type {DecisionLogger} from './decision-logger.js';
import type {CommitResult, RecordStore} from './record-store.js';
import {submissionPrefix} from './store-keys.js';

/** Time in milliseconds between two attempts of a write whose answer was lost. */
const writeRetryMs = 150;
/** Time in milliseconds for which a write without an answer is tried again after its caller has gone. */
const doubtMs = 20_000;

/** Options of `SubmissionWriter`. */
export interface SubmissionWriterOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: DecisionLogger;
}

/** Writes submissions into the store, and remembers those whose write has had no answer yet. */
export class SubmissionWriter {
  private readonly doubtful = new Map<string, Promise<CommitResult>>();
  private readonly settled = new Set<string>();

  constructor(private readonly options: SubmissionWriterOptions) {}

  /** Whether a write of the submission has had no answer yet. */
  isDoubtful(id: string): boolean {
    return this.doubtful.has(id);
  }

  /** Notes that the store has the submission, so that a write without an answer need not be repeated. */
  settle(id: string): void {
    if (this.doubtful.has(id)) this.settled.add(id);
  }

  /** Stores a submission; a write without an answer is repeated until it is known, also after the time limit. */
  async store(
    queue: Queue,
    id: string,
    draft: CheckedDraft,
    timeoutMs: number,
  ): Promise<CommitResult | 'timeout'> {
    let write = this.doubtful.get(id);
    if (write === undefined) {
      const submission: Submission = {
        id,
        queue: queue.key,
        service: queue.service,
        ...draft,
        acceptedAtMs: this.options.clock.wallTime(),
      };
      write = this.storeUntilKnown(submission).finally(() => {
        this.doubtful.delete(id);
        this.settled.delete(id);
      });
      this.doubtful.set(id, write);
    }
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<'timeout'>(resolve => {
      timer = setTimeout(() => resolve('timeout'), Math.max(0, timeoutMs));
    });
    const result = await Promise.race([write, timeout]);
    clearTimeout(timer);
    return result;
  }

  private async storeUntilKnown(submission: Submission): Promise<CommitResult> {
    const {store, clock, log} = this.options;
    const key = submissionPrefix + submission.id;
    const commit = {
      conditions: [{key, revision: 0}],
      writes: [{key, value: JSON.stringify(submission)}],
      removals: [],
    };
    const startedAt = clock.now();
    let isDoubtful = false;
    for (;;) {
      const result = await store.commit(commit);
      if (result.kind === 'ok' || result.kind === 'conflict') return result;
      if (result.kind === 'unknown') isDoubtful = true;
      if (this.settled.has(submission.id)) return {kind: 'conflict', current: []};
      // A refusal proves nothing about an earlier attempt that had no answer.
      if (!isDoubtful) return result;
      if (clock.now() - startedAt > doubtMs) {
        log.warn('submission-unresolved', {submission: submission.id});
        return {kind: 'unknown', detail: 'no answer from the store'};
      }
      await new Promise(resolve => setTimeout(resolve, writeRetryMs));
    }
  }
}

import {
  getQueuePolicy,
  RecentSet,
  type ValidDraft,
  type Clock,
  type Queue,
  type Submission,
} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import type {AttemptState} from '../links/entry-messages.js';
import type {CommitResult, RecordStore} from '../records/record-store.js';
import {submissionPrefix} from '../records/store-keys.js';

/** Delay in milliseconds before a write that got no reply is retried. */
const writeRetryDelayMs = 150;
/** Time in milliseconds for which an unresolved write is retried, also after its caller has timed out. */
const unresolvedRetryLimitMs = 20_000;

/** Number of stored submissions whose ids are kept, for callers who repeat a submission whose answer was lost. */
const maxStoredIds = 2_000;

/** Options of `SubmissionWriter`. */
export interface SubmissionWriterOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: DecisionLogger;
}

/** Writes submissions to the store and tracks the writes whose outcome is not known yet. */
export class SubmissionWriter {
  private readonly unresolvedWrites = new Map<string, Promise<CommitResult>>();
  /** Ids of unresolved submissions that another entry has stored. */
  private readonly storedElsewhere = new Set<string>();
  /** Ids of submissions that the store holds. */
  private readonly storedIds = new RecentSet<string>(maxStoredIds);

  constructor(private readonly options: SubmissionWriterOptions) {}

  /** Whether a write of the submission is in flight or its outcome is unknown. */
  isUnresolved(id: string): boolean {
    return this.unresolvedWrites.has(id);
  }

  /** Returns what is known of earlier attempts to store a submission, also while the store cannot be reached. */
  getAttempt(id: string): AttemptState {
    if (this.storedIds.has(id)) return 'stored';
    return this.isUnresolved(id) ? 'unresolved' : 'none';
  }

  /** Records that the store holds the submission, so that an unresolved write is not retried. */
  markStored(id: string): void {
    this.storedIds.use(id);
    if (this.unresolvedWrites.has(id)) this.storedElsewhere.add(id);
  }

  /**
   * Stores a submission; `conflict` means that the store already holds it. Returns `timeout` after `timeoutMs`; a
   * write whose outcome is unknown is still retried in the background until it is resolved, for at most
   * `unresolvedRetryLimitMs`.
   */
  async store(
    queue: Queue,
    id: string,
    draft: ValidDraft,
    timeoutMs: number,
  ): Promise<CommitResult | 'timeout'> {
    let write = this.unresolvedWrites.get(id);
    if (write === undefined) {
      const submission: Submission = {
        id,
        queue: queue.key,
        service: queue.service,
        ...draft,
        acceptedAtMs: this.options.clock.wallTime(),
        policy: getQueuePolicy(queue),
      };
      write = this.commitUntilResolved(submission).finally(() => {
        this.unresolvedWrites.delete(id);
        this.storedElsewhere.delete(id);
      });
      this.unresolvedWrites.set(id, write);
    }
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<'timeout'>(resolve => {
      timer = setTimeout(() => resolve('timeout'), Math.max(0, timeoutMs));
    });
    const result = await Promise.race([write, timeout]);
    clearTimeout(timer);
    return result;
  }

  private async commitUntilResolved(submission: Submission): Promise<CommitResult> {
    const {store, clock, log} = this.options;
    const key = submissionPrefix + submission.id;
    const commit = {
      conditions: [{key, revision: 0}],
      writes: [{key, value: JSON.stringify(submission)}],
      removals: [],
    };
    const startedAt = clock.now();
    let mayBeStored = false;
    for (;;) {
      const result = await store.commit(commit);
      if (result.kind === 'ok' || result.kind === 'conflict') {
        this.storedIds.use(submission.id);
        return result;
      }
      if (result.kind === 'unknown') mayBeStored = true;
      if (this.storedElsewhere.has(submission.id)) return {kind: 'conflict', current: []};
      // A refusal does not rule out that an earlier attempt without a reply took effect.
      if (!mayBeStored) return result;
      if (clock.now() - startedAt > unresolvedRetryLimitMs) {
        log.warn('submission-unresolved', {submission: submission.id});
        return {kind: 'unknown', detail: 'no answer from the store'};
      }
      await new Promise(resolve => setTimeout(resolve, writeRetryDelayMs));
    }
  }
}

import {
  type CheckedDraft,
  type Clock,
  decideAdmission,
  isLasting,
  type ProgressRecord,
  type Queue,
  type QueueConfiguration,
  type QueueLevel,
  type Submission,
} from '@chervilbeam/coordination';
import type {Metrics} from '../metrics/index.js';
import type {DecisionLogger} from './decision-logger.js';
import type {KnownSubmission} from './entry-messages.js';
import type {CommitResult, ReadResult, RecordStore} from './record-store.js';
import {cancelPrefix, progressPrefix, submissionPrefix} from './store-keys.js';
import type {SubmissionCall, SubmissionReply} from './submission-calls.js';

/** Retry-After in seconds while the store cannot be reached; its outages last seconds. */
const outageRetrySeconds = 2;
/** Time in milliseconds that a call keeps for its answer to reach the caller. */
const answerReserveMs = 150;
/** Time in milliseconds between two attempts of a write whose answer was lost. */
const writeRetryMs = 150;
/** Time in milliseconds for which a write without an answer is tried again after its caller has gone. */
const doubtMs = 20_000;
/** Age in milliseconds up to which the queues' levels decide on admission. */
const levelAgeMs = 3_000;

/** What a `SubmissionService` needs from the other processes. */
export interface SubmissionPeers {
  /** Asks the owner for a submission; undefined when no owner answers. */
  askOwner(id: string): Promise<KnownSubmission | undefined>;
  /** Tells the owner of a cancelled submission, also when the store turns the owner away. */
  tellCancelled(id: string): void;
  /** Has another entry carry out a call; undefined when none answers. */
  relay(call: SubmissionCall, timeoutMs: number): Promise<SubmissionReply | undefined>;
}

/** Options of `SubmissionService`. */
export interface SubmissionServiceOptions {
  readonly store: RecordStore;
  readonly peers: SubmissionPeers;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly metrics: Metrics;
}

/** Context of a call. */
export interface CallContext {
  /** Time in milliseconds within which the caller must have its answer. */
  readonly timeoutMs: number;
  /** Whether another entry has sent the call; it is not relayed again. */
  readonly isRelayed?: boolean;
}

/** Answers callers at any entry: accepts submissions into the store, tells their state, cancels them. */
export class SubmissionService {
  private configuration: QueueConfiguration | undefined;
  private levels = new Map<string, QueueLevel>();
  private levelsAt = Number.NEGATIVE_INFINITY;
  /** Work in core-milliseconds that was accepted here since the newest levels, by priority. */
  private readonly acceptedWork = new Map<string, number>();
  /** Submissions whose write has had no answer yet. */
  private readonly doubtful = new Map<string, Promise<CommitResult>>();

  constructor(private readonly options: SubmissionServiceOptions) {}

  /** Takes in a configuration. */
  configure(configuration: QueueConfiguration): void {
    this.configuration = configuration;
  }

  /** Takes in the backlog of the queues as the owner tells it. */
  setLevels(levels: readonly QueueLevel[]): void {
    this.levels = new Map(levels.map(level => [level.queue, level]));
    this.levelsAt = this.options.clock.now();
    this.acceptedWork.clear();
  }

  /** Carries out a call. */
  async execute(call: SubmissionCall, context: CallContext): Promise<SubmissionReply> {
    const {configuration} = this;
    if (configuration === undefined) {
      return {kind: 'refused', retryAfterSeconds: 1, reason: 'not-configured'};
    }
    const queue = configuration.queues.get(call.queue);
    switch (call.kind) {
      case 'submit':
        return queue ? this.submit(queue, call, context) : {kind: 'no-queue'};
      case 'query':
        return this.query(call, context);
      case 'cancel':
        return this.cancel(call, context);
      case 'count':
        return queue ? {kind: 'pending', count: this.getPending(queue)} : {kind: 'no-queue'};
    }
  }

  private getPending(queue: Queue): number {
    return this.levels.get(queue.key)?.pending ?? 0;
  }

  private async submit(
    queue: Queue,
    call: Extract<SubmissionCall, {kind: 'submit'}>,
    context: CallContext,
  ): Promise<SubmissionReply> {
    const {id, draft} = call;
    const refusal = this.decide(queue, draft);
    if (refusal !== undefined && !this.doubtful.has(id)) {
      // The same submission may have been accepted before, at any entry.
      const known = await this.find(id);
      if (known === 'absent') {
        this.note('submission-refused', id, refusal);
        return refusal;
      }
      if (known === 'present') return this.accept(queue, id, 'known');
      return {kind: 'unknown'};
    }
    const result = await this.storeWithin(queue, id, draft, context.timeoutMs - answerReserveMs);
    if (result === 'timeout') return {kind: 'unknown'};
    if (result.kind === 'ok') return this.accept(queue, id, 'stored', draft);
    if (result.kind === 'conflict') return this.accept(queue, id, 'known');
    if (result.kind === 'unknown') return {kind: 'unknown'};
    const reply = await this.relay(call, context);
    if (reply !== undefined) return reply;
    const unreachable: SubmissionReply = {
      kind: 'refused',
      retryAfterSeconds: outageRetrySeconds,
      reason: 'store-unreachable',
    };
    this.note('submission-refused', id, unreachable);
    return unreachable;
  }

  private decide(
    queue: Queue,
    draft: CheckedDraft,
  ): Extract<SubmissionReply, {kind: 'refused'}> | undefined {
    const isFresh = this.options.clock.now() - this.levelsAt < levelAgeMs;
    const level = isFresh ? this.levels.get(queue.key) : undefined;
    const added = this.acceptedWork.get(queue.key) ?? 0;
    const addedMs = level ? added / Math.max(1, level.cores) : 0;
    const now = level && {
      ...level,
      waitMs: level.waitMs + addedMs,
      fillWaitMs: level.fillWaitMs + addedMs,
    };
    const admission = decideAdmission(queue, draft.steps, draft.repetitions > 0, now);
    if (admission.kind === 'accept') return undefined;
    const {retryAfterSeconds} = admission;
    return {kind: 'refused', retryAfterSeconds, reason: 'backlog'};
  }

  private accept(queue: Queue, id: string, how: string, draft?: CheckedDraft): SubmissionReply {
    this.options.metrics.count(`submissions_${how}`);
    this.options.log.log('submission-acknowledged', {submission: id, queue: queue.name, how});
    if (draft && !isLasting(draft)) {
      let work = this.acceptedWork.get(queue.key) ?? 0;
      for (const step of draft.steps) work += step.count * step.need.processors * step.estimatedMs;
      this.acceptedWork.set(queue.key, work);
    }
    return {kind: 'accepted'};
  }

  /** Stores a submission; a write without an answer is repeated until it is known, also after the time limit. */
  private async storeWithin(
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
      write = this.storeUntilKnown(submission).finally(() => this.doubtful.delete(id));
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
      // A refusal proves nothing about an earlier attempt that had no answer.
      if (!isDoubtful) return result;
      if (clock.now() - startedAt > doubtMs) {
        log.warn('submission-unresolved', {submission: submission.id});
        return {kind: 'unknown', detail: 'no answer from the store'};
      }
      await new Promise(resolve => setTimeout(resolve, writeRetryMs));
    }
  }

  /** Whether a submission exists, as the owner or the store knows it. */
  private async find(id: string): Promise<'present' | 'absent' | 'unknown'> {
    const known = await this.options.peers.askOwner(id);
    if (known?.isOwner && known.status !== undefined) return 'present';
    const result = await this.options.store.read(submissionPrefix + id);
    if (result.kind !== 'ok') return 'unknown';
    return result.record ? 'present' : 'absent';
  }

  private async query(
    call: Extract<SubmissionCall, {kind: 'query'}>,
    context: CallContext,
  ): Promise<SubmissionReply> {
    const known = await this.options.peers.askOwner(call.id);
    if (known?.isOwner && known.status !== undefined) {
      if (known.queue !== call.queue) return {kind: 'absent'};
      return {kind: 'state', status: known.status};
    }
    const [submission, progress] = await Promise.all([
      this.options.store.read(submissionPrefix + call.id),
      this.options.store.read(progressPrefix + call.id),
    ]);
    if (submission.kind !== 'ok' || progress.kind !== 'ok') {
      return (await this.relay(call, context)) ?? this.getUnreachable();
    }
    return readState(call.queue, submission, progress);
  }

  private async cancel(
    call: Extract<SubmissionCall, {kind: 'cancel'}>,
    context: CallContext,
  ): Promise<SubmissionReply> {
    const {store, log} = this.options;
    const key = submissionPrefix + call.id;
    const read = await store.read(key);
    if (read.kind !== 'ok') return (await this.relay(call, context)) ?? this.getUnreachable();
    if (read.record === undefined) return {kind: 'absent'};
    const commit = {
      conditions: [{key, revision: read.record.revision}],
      writes: [{key: cancelPrefix + call.id, value: '{}'}],
      removals: [],
    };
    const deadline = this.options.clock.now() + context.timeoutMs - answerReserveMs;
    while (this.options.clock.now() < deadline) {
      const result = await store.commit(commit);
      if (result.kind === 'ok') {
        this.options.peers.tellCancelled(call.id);
        log.log('cancel-acknowledged', {submission: call.id, revision: result.revision});
        return {kind: 'cancelled'};
      }
      if (result.kind === 'conflict') return {kind: 'absent'};
      await new Promise(resolve => setTimeout(resolve, writeRetryMs));
    }
    return {kind: 'unknown'};
  }

  private async relay(
    call: SubmissionCall,
    context: CallContext,
  ): Promise<SubmissionReply | undefined> {
    if (context.isRelayed) return undefined;
    const reply = await this.options.peers.relay(call, context.timeoutMs - answerReserveMs);
    if (reply) this.options.metrics.count('calls_relayed');
    return reply;
  }

  private getUnreachable(): SubmissionReply {
    return {
      kind: 'refused',
      retryAfterSeconds: outageRetrySeconds,
      reason: 'store-unreachable',
    };
  }

  private note(event: string, id: string, reply: SubmissionReply): void {
    if (reply.kind !== 'refused') return;
    const {metrics, log, clock} = this.options;
    const {reason, retryAfterSeconds} = reply;
    metrics.count(`submissions_refused_${reason}`);
    log.log(event, {
      submission: id,
      reason,
      retryAfterSeconds,
      ageMs: Math.round(clock.now() - this.levelsAt),
    });
  }
}

function readState(queue: string, submission: ReadResult, progress: ReadResult): SubmissionReply {
  if (submission.kind !== 'ok' || submission.record === undefined) return {kind: 'absent'};
  const {queue: ownQueue} = JSON.parse(submission.record.value) as Submission;
  if (ownQueue !== queue) return {kind: 'absent'};
  if (progress.kind !== 'ok' || progress.record === undefined) {
    return {kind: 'state', status: 'queued'};
  }
  const record = JSON.parse(progress.record.value) as ProgressRecord;
  return {kind: 'state', status: record.final ?? 'running'};
}

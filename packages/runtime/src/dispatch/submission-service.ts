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
import {CallRelays} from './call-relays.js';
import type {DecisionLogger} from './decision-logger.js';
import type {KnownSubmission} from './entry-messages.js';
import type {ReadResult, RecordStore} from './record-store.js';
import {cancelPrefix, progressPrefix, submissionPrefix} from './store-keys.js';
import type {SubmissionCall, SubmissionReply} from './submission-calls.js';
import {SubmissionWriter} from './submission-writer.js';

/** Retry-After in seconds while the store cannot be reached; its outages last seconds. */
const outageRetrySeconds = 2;
/** Time in milliseconds that a call keeps for its answer to reach the caller. */
const answerReserveMs = 150;
/** Time in milliseconds between two attempts of a write whose answer was lost. */
const writeRetryMs = 150;
/** Age in milliseconds up to which the queues' levels decide on admission. */
const levelAgeMs = 3_000;

/** What a `SubmissionService` needs from the other processes. */
export interface SubmissionPeers {
  /** Asks the owner for a submission; undefined when no owner answers. */
  askOwner(id: string): Promise<KnownSubmission | undefined>;
  /** Tells the owner of a cancelled submission, also when the store turns the owner away. */
  tellCancelled(id: string): void;
  /** Returns the number of other entries that may carry out a call. */
  getCount(): number;
  /** Has another entry carry out a call; undefined when it does not answer. Each call asks the next one. */
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
  private readonly writer: SubmissionWriter;
  private readonly relays: CallRelays;

  constructor(private readonly options: SubmissionServiceOptions) {
    this.writer = new SubmissionWriter(options);
    this.relays = new CallRelays(options);
  }

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
    if (refusal !== undefined && !this.writer.isDoubtful(id)) {
      // The same submission may have been accepted before, at any entry.
      const known = await this.find(id);
      if (known === 'absent') {
        this.note('submission-refused', id, refusal);
        return refusal;
      }
      if (known === 'present') return this.accept(queue, id, 'known');
      return {kind: 'unknown'};
    }
    const reply = await this.relays.run(call, context, () => this.store(queue, call, context));
    if (reply.kind === 'accepted') this.writer.settle(id);
    else this.note('submission-refused', id, reply);
    return reply;
  }

  private async store(
    queue: Queue,
    call: Extract<SubmissionCall, {kind: 'submit'}>,
    context: CallContext,
  ): Promise<SubmissionReply> {
    const {id, draft} = call;
    const timeoutMs = context.timeoutMs - answerReserveMs;
    const result = await this.writer.store(queue, id, draft, timeoutMs);
    if (result === 'timeout' || result.kind === 'unknown') return {kind: 'unknown'};
    if (result.kind === 'ok') return this.accept(queue, id, 'stored', draft);
    if (result.kind === 'conflict') return this.accept(queue, id, 'known');
    return this.getUnreachable();
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
    return this.relays.run(call, context, async () => {
      const [submission, progress] = await Promise.all([
        this.options.store.read(submissionPrefix + call.id),
        this.options.store.read(progressPrefix + call.id),
      ]);
      const isRead = submission.kind === 'ok' && progress.kind === 'ok';
      return isRead ? readState(call.queue, submission, progress) : this.getUnreachable();
    });
  }

  private cancel(
    call: Extract<SubmissionCall, {kind: 'cancel'}>,
    context: CallContext,
  ): Promise<SubmissionReply> {
    return this.relays.run(call, context, () => this.storeCancel(call.id, context));
  }

  private async storeCancel(id: string, context: CallContext): Promise<SubmissionReply> {
    const {store, log, clock} = this.options;
    const deadline = clock.now() + context.timeoutMs - answerReserveMs;
    const key = submissionPrefix + id;
    const read = await store.read(key);
    if (read.kind !== 'ok') return this.getUnreachable();
    if (read.record === undefined) return {kind: 'absent'};
    const commit = {
      conditions: [{key, revision: read.record.revision}],
      writes: [{key: cancelPrefix + id, value: '{}'}],
      removals: [],
    };
    while (clock.now() < deadline) {
      const result = await store.commit(commit);
      if (result.kind === 'ok') {
        this.options.peers.tellCancelled(id);
        log.log('cancel-acknowledged', {submission: id, revision: result.revision});
        return {kind: 'cancelled'};
      }
      if (result.kind === 'conflict') return {kind: 'absent'};
      await new Promise(resolve => setTimeout(resolve, writeRetryMs));
    }
    return {kind: 'unknown'};
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

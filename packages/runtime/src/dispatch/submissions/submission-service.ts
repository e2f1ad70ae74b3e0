import {
  type ValidDraft,
  type Clock,
  type Queue,
  type QueueConfiguration,
  type QueueBacklogs,
  type Scheduling,
} from '@chervilbeam/coordination';
import type {Metrics} from '../../metrics/index.js';
import type {DecisionLogger} from '../decision-logger.js';
import type {AttemptState, SubmissionLookup} from '../links/entry-messages.js';
import {LeaseClock} from '../ownership/lease-clock.js';
import {readStatus} from '../records/stored-status.js';
import type {RecordStore} from '../records/record-store.js';
import type {StoreHealth} from '../records/store-health.js';
import {cancelPrefix, progressPrefix, submissionPrefix} from '../records/store-keys.js';
import {BacklogAdmission, type SubmissionRefusal} from './backlog-admission.js';
import {CallRelays, getExecutionMs, isReadRefusal} from './call-relays.js';
import {MemoryAdmission} from './memory-admission.js';
import type {SubmissionCall, SubmissionReply} from './submission-calls.js';
import {SubmissionWriter} from './submission-writer.js';

/** Retry-After in seconds while the store is unreachable; its outages last seconds. */
const outageRetrySeconds = 2;
/** Delay in milliseconds before a write that got no reply is retried. */
const writeRetryDelayMs = 150;
/** Age in milliseconds up to which the number of pending submissions is taken from the backlogs; callers allow 2 s. */
const maxPendingAgeMs = 1_200;
/** Retry-After in seconds while the owner has no memory for further submissions; large ones take some seconds to end. */
const memoryRetrySeconds = 5;
/** Retry-After in seconds while the number of pending submissions cannot be told; an owner is elected within seconds. */
const unknownPendingRetrySeconds = 1;

/** Requests that a `SubmissionService` makes to other processes. */
export interface SubmissionPeers {
  /** Looks up a submission at the owner; undefined when no owner replies. */
  askOwner(id: string): Promise<SubmissionLookup | undefined>;
  /** Asks the owner for the number of pending submissions of a queue; undefined when no owner replies. */
  countPending(queue: string): Promise<number | undefined>;
  /** Notifies the owner of a cancelled submission directly, because the owner may be unable to reach the store. */
  notifyCancelled(id: string): void;
  /** Returns the number of other entries to which a call can be relayed. */
  getEntryCount(): number;
  /** Asks the other entries, also those that were lost lately, for earlier attempts to hand in a submission. */
  findAttempt(id: string): Promise<AttemptState>;
  /** Relays a call to another entry, in round-robin order; undefined when it does not reply within `timeoutMs`. */
  relay(call: SubmissionCall, timeoutMs: number): Promise<SubmissionReply | undefined>;
}

/** Options of `SubmissionService`. */
export interface SubmissionServiceOptions {
  readonly store: RecordStore;
  /** Health of `store`. */
  readonly health: StoreHealth;
  readonly peers: SubmissionPeers;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly metrics: Metrics;
  /** Memory in bytes of an owner for accepted submissions; by default without limit. */
  readonly maxAcceptedBytes?: number;
  /** Rules of admission; `urgency` by default. */
  readonly scheduling?: Scheduling;
}

/** Timeout and origin of a call. */
export interface CallContext {
  /** Time in milliseconds within which the caller must receive the reply. */
  readonly timeoutMs: number;
  /** Whether another entry relayed the call; such a call is not relayed again, which prevents loops. */
  readonly isRelayed?: boolean;
}

/** Handles callers' requests on any entry: stores submissions, returns their state and cancels them. */
export class SubmissionService {
  private configuration: QueueConfiguration | undefined;
  /** Latest backlogs of the owner. */
  private backlogs: QueueBacklogs | undefined;
  private backlogsReceivedAt = Number.NEGATIVE_INFINITY;
  private readonly admission: BacklogAdmission;
  private readonly memory: MemoryAdmission;
  private readonly writer: SubmissionWriter;
  private readonly relays: CallRelays;

  /** Counts suspensions of the host, so that backlogs from before a suspension are not taken for recent ones. */
  private readonly clock: LeaseClock;

  constructor(private readonly options: SubmissionServiceOptions) {
    this.clock = new LeaseClock(options.clock);
    this.memory = new MemoryAdmission({
      maxBytes: options.maxAcceptedBytes ?? Number.POSITIVE_INFINITY,
      getEntryCount: () => options.peers.getEntryCount() + 1,
    });
    this.admission = new BacklogAdmission({
      ...(options.scheduling && {scheduling: options.scheduling}),
      getEntryCount: () => options.peers.getEntryCount() + 1,
    });
    this.writer = new SubmissionWriter(options);
    this.relays = new CallRelays(options);
  }

  /** Sets the queue configuration; until the first one, every call is refused. */
  configure(configuration: QueueConfiguration): void {
    this.configuration = configuration;
  }

  /** Replaces the queue backlogs with those that the owner published. */
  setQueueBacklogs(backlogs: QueueBacklogs): void {
    this.backlogs = backlogs;
    this.backlogsReceivedAt = this.clock.now();
    this.admission.update(backlogs, this.backlogsReceivedAt);
    if (backlogs.memory) this.memory.update(backlogs.memory);
  }

  /** Executes a call and returns its reply; store failures are returned as replies, not thrown. */
  async execute(call: SubmissionCall, context: CallContext): Promise<SubmissionReply> {
    const startedAt = this.clock.now();
    const reply = await this.executeCall(call, context);
    if (reply.kind === 'unknown') {
      this.options.metrics.count('calls_unresolved');
      this.options.log.log('call-unresolved', {
        ...('id' in call && {submission: call.id}),
        call: call.kind,
        relayed: context.isRelayed === true,
        ageMs: Math.round(this.clock.now() - startedAt),
      });
    }
    return reply;
  }

  /** Returns what this entry knows of earlier attempts to hand in a submission. */
  getAttempt(id: string): AttemptState {
    return this.writer.getAttempt(id);
  }

  private async executeCall(call: SubmissionCall, context: CallContext): Promise<SubmissionReply> {
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
        return queue ? this.count(queue) : {kind: 'no-queue'};
    }
  }

  /**
   * Returns the number of pending submissions from the owner's latest backlogs or, when these are old or lack the
   * queue, from the owner itself. A number that cannot be told is not given as 0. It is not counted in the store: a list
   * of all submissions would fill the link of a small host for seconds.
   */
  private async count(queue: Queue): Promise<SubmissionReply> {
    const isFresh = this.clock.now() - this.backlogsReceivedAt < maxPendingAgeMs;
    const published = isFresh ? this.backlogs?.get(queue)?.pending : undefined;
    const count = published ?? (await this.options.peers.countPending(queue.key));
    if (count !== undefined) return {kind: 'pending', count};
    const retryAfterSeconds = unknownPendingRetrySeconds;
    return {kind: 'refused', retryAfterSeconds, reason: 'backlog-unknown'};
  }

  private async submit(
    queue: Queue,
    call: Extract<SubmissionCall, {kind: 'submit'}>,
    context: CallContext,
  ): Promise<SubmissionReply> {
    const {id, draft} = call;
    const refusal =
      this.admission.check(id, queue, draft, this.clock.now()) ?? this.checkMemory(draft);
    if (refusal !== undefined && !this.writer.isUnresolved(id)) {
      // A retry of a submission that any entry has already accepted must not be refused.
      const existence = await this.checkExistence(id);
      if (existence === 'absent') {
        this.recordRefusal(id, refusal.reply, refusal.waitMs);
        return refusal.reply;
      }
      if (existence === 'present') return this.acknowledgeSubmission(queue, id, 'known');
      return this.submitElsewhere(queue, call, context);
    }
    const reply = await this.relays.run(
      call,
      context,
      () => this.store(queue, call, context),
      this.writer.isUnresolved(id),
    );
    if (reply.kind === 'accepted') this.writer.markStored(id);
    return this.confirmRefusal(queue, id, reply, context);
  }

  /**
   * Returns a refusal only when it is proven that no earlier attempt has stored the submission; otherwise what the owner
   * knows, or that the outcome is unknown. Other replies are returned as they are.
   */
  private async confirmRefusal(
    queue: Queue,
    id: string,
    reply: SubmissionReply,
    {isRelayed = false}: CallContext,
  ): Promise<SubmissionReply> {
    if (reply.kind !== 'refused') return reply;
    if (this.writer.isUnresolved(id)) return {kind: 'unknown'};
    // The entry that relayed the call asks itself, and only an entry that refuses for the backlog has read the store.
    if (isRelayed || isReadRefusal(reply.reason)) {
      this.recordRefusal(id, reply);
      return reply;
    }
    const {peers} = this.options;
    const [lookup, attempt] = await Promise.all([peers.askOwner(id), peers.findAttempt(id)]);
    const isKnown = lookup?.isOwner === true && lookup.status !== undefined;
    if (isKnown || attempt === 'stored') return this.acknowledgeSubmission(queue, id, 'known');
    if (attempt === 'unresolved') return {kind: 'unknown'};
    this.recordRefusal(id, reply);
    return reply;
  }

  /**
   * Passes on a submission that this entry would refuse but cannot look up, because the store does not answer it. It is
   * refused when the other entries refuse it too, and otherwise may have been accepted before.
   */
  private async submitElsewhere(
    queue: Queue,
    call: Extract<SubmissionCall, {kind: 'submit'}>,
    context: CallContext,
  ): Promise<SubmissionReply> {
    const untried = Promise.resolve(this.createUnreachableReply());
    const reply = await this.relays.run(call, context, () => untried);
    return this.confirmRefusal(queue, call.id, reply, context);
  }

  private async store(
    queue: Queue,
    call: Extract<SubmissionCall, {kind: 'submit'}>,
    context: CallContext,
  ): Promise<SubmissionReply> {
    const {id, draft} = call;
    if (this.writer.getAttempt(id) === 'stored')
      return this.acknowledgeSubmission(queue, id, 'known');
    const timeoutMs = getExecutionMs(context.timeoutMs);
    const result = await this.writer.store(queue, id, draft, timeoutMs);
    if (result === 'timeout' || result.kind === 'unknown') return {kind: 'unknown'};
    if (result.kind === 'ok') return this.acknowledgeSubmission(queue, id, 'stored', draft);
    if (result.kind === 'conflict') return this.acknowledgeSubmission(queue, id, 'known');
    return this.createUnreachableReply();
  }

  /** Reserves memory of the owner for the submission; returns a refusal when there is none. */
  private checkMemory(draft: ValidDraft): SubmissionRefusal | undefined {
    if (this.memory.reserve(draft)) return undefined;
    const retryAfterSeconds = memoryRetrySeconds;
    return {reply: {kind: 'refused', retryAfterSeconds, reason: 'memory'}};
  }

  private acknowledgeSubmission(
    queue: Queue,
    id: string,
    how: string,
    draft?: ValidDraft,
  ): SubmissionReply {
    this.options.metrics.count(`submissions_${how}`);
    this.options.log.log('submission-acknowledged', {submission: id, queue: queue.name, how});
    if (draft) this.admission.recordAccepted(id, queue, draft, this.clock.now());
    return {kind: 'accepted'};
  }

  /** Checks at the owner, then in the store, whether a submission exists. */
  private async checkExistence(id: string): Promise<'present' | 'absent' | 'unknown'> {
    const lookup = await this.options.peers.askOwner(id);
    if (lookup?.isOwner && lookup.status !== undefined) return 'present';
    if (this.options.health.isFailing) return 'unknown';
    const result = await this.options.store.read(submissionPrefix + id);
    if (result.kind !== 'ok') return 'unknown';
    return result.record ? 'present' : 'absent';
  }

  private async query(
    call: Extract<SubmissionCall, {kind: 'query'}>,
    context: CallContext,
  ): Promise<SubmissionReply> {
    const lookup = await this.options.peers.askOwner(call.id);
    if (lookup?.isOwner && lookup.status !== undefined) {
      if (lookup.queue !== call.queue) return {kind: 'absent'};
      return {kind: 'state', status: lookup.status};
    }
    return this.relays.run(call, context, async () => {
      const [submission, progress] = await Promise.all([
        this.options.store.read(submissionPrefix + call.id),
        this.options.store.read(progressPrefix + call.id),
      ]);
      const isRead = submission.kind === 'ok' && progress.kind === 'ok';
      return isRead ? readStatus(call.queue, submission, progress) : this.createUnreachableReply();
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
    const deadline = clock.now() + getExecutionMs(context.timeoutMs);
    const key = submissionPrefix + id;
    const read = await store.read(key);
    if (read.kind !== 'ok') return this.createUnreachableReply();
    if (read.record === undefined) {
      return {kind: (await this.mayBeStoredLater(id)) ? 'unknown' : 'absent'};
    }
    let {revision} = read.record;
    while (clock.now() < deadline) {
      const result = await store.commit({
        conditions: [{key, revision}],
        writes: [{key: cancelPrefix + id, value: '{}'}],
        removals: [],
      });
      if (result.kind === 'ok') {
        this.options.peers.notifyCancelled(id);
        log.log('cancel-acknowledged', {submission: id, revision: result.revision});
        return {kind: 'cancelled'};
      }
      if (result.kind === 'conflict') {
        // The owner rewrites a submission when it ends, and removes it when it is forgotten.
        const record = result.current.find(candidate => candidate.key === key);
        if (record === undefined) return {kind: 'absent'};
        ({revision} = record);
      } else await new Promise(resolve => setTimeout(resolve, writeRetryDelayMs));
    }
    return {kind: 'unknown'};
  }

  /** Whether a write of the submission that has no answer yet, by this or another entry, may still take effect. */
  private async mayBeStoredLater(id: string): Promise<boolean> {
    if (this.writer.isUnresolved(id)) return true;
    return (await this.options.peers.findAttempt(id)) === 'unresolved';
  }

  private createUnreachableReply(): SubmissionReply {
    return {
      kind: 'refused',
      retryAfterSeconds: outageRetrySeconds,
      reason: 'store-unreachable',
    };
  }

  private recordRefusal(id: string, reply: SubmissionReply, waitMs?: number): void {
    if (reply.kind !== 'refused') return;
    const {metrics, log} = this.options;
    const {reason, retryAfterSeconds} = reply;
    metrics.count(`submissions_refused_${reason}`);
    log.log('submission-refused', {
      submission: id,
      reason,
      retryAfterSeconds,
      ...(waitMs !== undefined && {waitMs}),
      ageMs: Math.round(this.clock.now() - this.backlogsReceivedAt),
    });
  }
}

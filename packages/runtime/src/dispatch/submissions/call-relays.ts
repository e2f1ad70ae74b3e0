import type {Clock} from '@chervilbeam/coordination';
import type {Metrics} from '../../metrics/index.js';
import type {RecordStore} from '../records/record-store.js';
import type {StoreHealth} from '../records/store-health.js';
import {ownerKey} from '../records/store-keys.js';
import type {RefusalReason, SubmissionCall, SubmissionReply} from './submission-calls.js';
import type {CallContext, SubmissionPeers} from './submission-service.js';

/** Delay in milliseconds before a call is hedged to another entry; a slow but healthy store replies within it. */
const hedgeDelayMs = 350;
/** Timeout in milliseconds of a relayed call before the next entry is tried. */
const relayTimeoutMs = 700;
/**
 * Number of other entries that are asked while all of them are refused by the store as well. When the store turns away a
 * third of the entries, one of four is served with a probability of 99%.
 */
const maxRefusingEntries = 4;
/** Shortest time in milliseconds between two reads that find out whether a failing store answers again. */
const probeIntervalMs = 250;
/** Key of these reads. */
const probeKey = ownerKey;
/**
 * Part of a call's timeout that is reserved for returning the reply to the caller: at most `maxReplyReserveMs`, and no
 * more than this share of it, because a caller with little time left is better off with an answer just in time.
 */
const maxReplyReserveMs = 150;
const replyReserveShare = 0.3;

/** Returns the part of a call's timeout, in milliseconds, in which it can be executed. */
export function getExecutionMs(timeoutMs: number): number {
  return timeoutMs - Math.min(maxReplyReserveMs, timeoutMs * replyReserveShare);
}

/** Options of `CallRelays`. */
export interface CallRelaysOptions {
  readonly peers: SubmissionPeers;
  readonly store: RecordStore;
  readonly health: StoreHealth;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/**
 * Relays calls to other entries while the store refuses this entry or does not answer it. Every call is idempotent,
 * so it may be executed twice: a submission is stored only if it is new, and storing a cancel again has no effect.
 */
export class CallRelays {
  private probedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: CallRelaysOptions) {}

  /**
   * Executes a call locally and, when the store does not answer, on other entries; returns the first conclusive
   * reply. A refusal is returned only when no attempt can have taken effect. While the store is failing, the call is
   * not sent to it: a write without an answer would leave the caller unsure. `isUnderWay` is whether `execute` only waits
   * for a write that has been sent before.
   */
  async run(
    call: SubmissionCall,
    context: CallContext,
    execute: () => Promise<SubmissionReply>,
    isUnderWay = false,
  ): Promise<SubmissionReply> {
    const {clock, peers, health} = this.options;
    const isFailing = health.isFailing && !isUnderWay;
    if (isFailing) this.probe();
    const localReply = isFailing ? untriedReply : execute();
    if (context.isRelayed || peers.getEntryCount() === 0) return localReply;
    const deadline = clock.now() + getExecutionMs(context.timeoutMs);
    const firstReply = await withTimeout(
      localReply,
      Math.min(hedgeDelayMs, deadline - clock.now()),
    );
    if (firstReply !== undefined && isConclusive(firstReply)) return firstReply;
    const relayedReply = this.relay(call, deadline);
    const conclusiveReply = await withTimeout(
      getFirstConclusive([localReply, relayedReply]),
      deadline - clock.now(),
    );
    if (conclusiveReply !== undefined) return conclusiveReply;
    const replies = await Promise.all([withTimeout(localReply, 0), withTimeout(relayedReply, 0)]);
    // Another entry may have read the store, which this one could not.
    const refusal = replies.findLast(reply => reply?.kind === 'refused');
    // A query has no effect, so it can be refused even if another attempt may have been executed.
    const isRefused = call.kind === 'query' || replies.every(reply => reply?.kind === 'refused');
    return isRefused && refusal !== undefined ? refusal : {kind: 'unknown'};
  }

  /** Reads from a failing store, so that its health is known again as soon as it answers. */
  private probe(): void {
    const {clock, store} = this.options;
    if (clock.now() - this.probedAt < probeIntervalMs) return;
    this.probedAt = clock.now();
    void store.read(probeKey);
  }

  /** Relays the call to other entries in turn until one gives a conclusive reply. */
  private async relay(call: SubmissionCall, deadline: number): Promise<SubmissionReply> {
    const {peers, clock, metrics} = this.options;
    let lastReply = await untriedReply;
    for (let attempt = 0; attempt < peers.getEntryCount(); attempt += 1) {
      if (attempt >= maxRefusingEntries && lastReply.kind === 'refused') return lastReply;
      const remainingMs = deadline - clock.now();
      // The entries that were not asked cannot have executed the call.
      if (remainingMs <= 0) return lastReply;
      metrics.count('calls_relayed');
      const reply = await peers.relay(call, Math.min(relayTimeoutMs, remainingMs));
      if (reply !== undefined && isConclusive(reply)) return reply;
      // An entry that did not reply may have executed the call, so a refusal stands only if all entries so far refused.
      const isRefused: boolean = reply?.kind === 'refused' && lastReply.kind === 'refused';
      lastReply = isRefused && reply !== undefined ? reply : {kind: 'unknown'};
      // This entry has found in the store that no earlier attempt was stored, and all entries have the same backlog.
      if (lastReply.kind === 'refused' && isReadRefusal(lastReply.reason)) return lastReply;
    }
    return lastReply;
  }
}

/** Reply to a call that was not tried. */
const untriedReply: Promise<SubmissionReply> = Promise.resolve({
  kind: 'refused',
  retryAfterSeconds: 1,
  reason: 'store-unreachable',
});

/** Whether an entry that refuses for a reason has read in the store that no earlier attempt was stored. */
export function isReadRefusal(reason: RefusalReason): boolean {
  return reason === 'backlog' || reason === 'displacement' || reason === 'memory';
}

/** Whether a reply is final. `no-queue` is not: the replying entry may have an older configuration. */
function isConclusive(reply: SubmissionReply): boolean {
  return reply.kind !== 'unknown' && reply.kind !== 'refused' && reply.kind !== 'no-queue';
}

/** Returns the first conclusive reply; undefined once all replies have arrived and none is conclusive. */
function getFirstConclusive(
  replies: ReadonlyArray<Promise<SubmissionReply>>,
): Promise<SubmissionReply | undefined> {
  return new Promise(resolve => {
    let pendingCount = replies.length;
    for (const promise of replies) {
      void promise.then(reply => {
        pendingCount -= 1;
        if (isConclusive(reply)) resolve(reply);
        else if (pendingCount === 0) resolve(undefined);
      });
    }
  });
}

async function withTimeout<T>(promise: Promise<T>, ms: number): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>(resolve => {
    timer = setTimeout(() => resolve(undefined), Math.max(0, ms));
  });
  const result = await Promise.race([promise, timeout]);
  clearTimeout(timer);
  return result;
}

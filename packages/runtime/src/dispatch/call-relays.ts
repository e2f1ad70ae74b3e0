import type {Clock} from '@chervilbeam/coordination';
import type {Metrics} from '../metrics/index.js';
import type {SubmissionCall, SubmissionReply} from './submission-calls.js';
import type {CallContext, SubmissionPeers} from './submission-service.js';

/** Time in milliseconds after which a call is also sent to another entry; a slow store answers within it. */
const hedgeMs = 350;
/** Time in milliseconds that one other entry may take before the next one is asked. */
const attemptMs = 700;
/** Time in milliseconds for which the store counts as silent after a call that it did not answer in time. */
const silenceMs = 2_000;
/** Time in milliseconds that a call keeps for its answer to reach the caller. */
const answerReserveMs = 150;

/** Options of `CallRelays`. */
export interface CallRelaysOptions {
  readonly peers: SubmissionPeers;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/**
 * Has other entries carry out calls while the store turns this one away or does not answer it. All calls may be
 * carried out twice: a submission is stored on condition that it is new, and a cancel is stored as often as asked.
 */
export class CallRelays {
  /** Time until which the store counts as silent. */
  private silentUntil = Number.NEGATIVE_INFINITY;
  /** Whether a call tries whether the silent store answers again. */
  private isProbing = false;

  constructor(private readonly options: CallRelaysOptions) {}

  /**
   * Carries a call out here and, when the store does not answer, at other entries; returns the first answer that
   * settles it. A refusal is told only when nothing that was tried may have taken effect.
   */
  async run(
    call: SubmissionCall,
    context: CallContext,
    execute: () => Promise<SubmissionReply>,
  ): Promise<SubmissionReply> {
    const {clock, peers} = this.options;
    if (context.isRelayed || peers.getCount() === 0) return execute();
    const deadline = clock.now() + context.timeoutMs - answerReserveMs;
    const isSilent = clock.now() < this.silentUntil;
    const own = isSilent && this.isProbing ? untried : this.executeHere(execute);
    const first = await within(own, isSilent ? 0 : Math.min(hedgeMs, deadline - clock.now()));
    if (first !== undefined && isSettled(first)) return first;
    if (first === undefined) this.silentUntil = clock.now() + silenceMs;
    const relayed = this.relay(call, deadline);
    const settled = await within(getSettled([own, relayed]), deadline - clock.now());
    if (settled !== undefined) return settled;
    const replies = await Promise.all([within(own, 0), within(relayed, 0)]);
    const refusal = replies.find(reply => reply?.kind === 'refused');
    // A question has no effect, so it may be refused whatever has become of it elsewhere.
    const isRefused = call.kind === 'query' || replies.every(reply => reply?.kind === 'refused');
    return isRefused && refusal !== undefined ? refusal : {kind: 'unknown'};
  }

  private async executeHere(execute: () => Promise<SubmissionReply>): Promise<SubmissionReply> {
    const {clock} = this.options;
    const startedAt = clock.now();
    this.isProbing = true;
    const reply = await execute();
    this.isProbing = false;
    const isQuick = clock.now() - startedAt < hedgeMs;
    if (isQuick && isSettled(reply)) this.silentUntil = Number.NEGATIVE_INFINITY;
    return reply;
  }

  /** Asks other entries in turn until one settles the call. */
  private async relay(call: SubmissionCall, deadline: number): Promise<SubmissionReply> {
    const {peers, clock, metrics} = this.options;
    let last: SubmissionReply = {kind: 'unknown'};
    for (let attempt = 0; attempt < peers.getCount(); attempt += 1) {
      const leftMs = deadline - clock.now();
      if (leftMs <= 0) return {kind: 'unknown'};
      metrics.count('calls_relayed');
      const reply = await peers.relay(call, Math.min(attemptMs, leftMs));
      if (reply !== undefined && isSettled(reply)) return reply;
      // An entry without an answer may have carried the call out.
      const isFirst: boolean = attempt === 0;
      const isRefused: boolean = reply?.kind === 'refused' && (isFirst || last.kind === 'refused');
      last = isRefused && reply !== undefined ? reply : {kind: 'unknown'};
    }
    return last;
  }
}

/** Answer of a store that was not asked. */
const untried: Promise<SubmissionReply> = Promise.resolve({
  kind: 'refused',
  retryAfterSeconds: 1,
  reason: 'store-unreachable',
});

/** Whether an answer settles a call; an entry that does not know a queue has an older configuration. */
function isSettled(reply: SubmissionReply): boolean {
  return reply.kind !== 'unknown' && reply.kind !== 'refused' && reply.kind !== 'no-queue';
}

/** Returns the first answer that settles a call; undefined when all are there and none does. */
function getSettled(
  replies: ReadonlyArray<Promise<SubmissionReply>>,
): Promise<SubmissionReply | undefined> {
  return new Promise(resolve => {
    let open = replies.length;
    for (const promise of replies) {
      void promise.then(reply => {
        open -= 1;
        if (isSettled(reply)) resolve(reply);
        else if (open === 0) resolve(undefined);
      });
    }
  });
}

async function within<T>(promise: Promise<T>, ms: number): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<undefined>(resolve => {
    timer = setTimeout(() => resolve(undefined), Math.max(0, ms));
  });
  const result = await Promise.race([promise, limit]);
  clearTimeout(timer);
  return result;
}

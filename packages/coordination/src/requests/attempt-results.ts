import type {FairQueue} from '../admission/fair-queue.js';
import type {RetryBudget} from '../admission/retry-budget.js';
import type {Failed, NotRunReason, Recovered, Rejected, Reply} from '../messages/data.js';
import {getRequestKey} from '../messages/identity.js';
import type {HedgePolicy} from '../routing/hedge-policy.js';
import type {OutcomeReporter} from './outcome-reporter.js';
import type {EntryRequestsEffect} from './entry-events.js';
import type {EntryRoutes} from '../routing/entry-routes.js';
import type {Outbox} from '../outbox.js';
import type {Attempt, PendingRequest} from './pending-request.js';
import type {RequestTable} from './request-table.js';

/** Objects that `AttemptResults` shares with `EntryRequests`. */
export interface AttemptResultParts {
  readonly outbox: Outbox<EntryRequestsEffect>;
  readonly table: RequestTable;
  readonly queue: FairQueue<PendingRequest>;
  readonly routes: EntryRoutes;
  readonly outcomes: OutcomeReporter;
  readonly budget: RetryBudget;
  readonly hedges: HedgePolicy;
  /** See `EntryRequestsOptions.recoverMs`. */
  readonly recoverMs: number;
}

/** A request and the sent attempt that may be hedged. */
export interface HedgeCandidate {
  readonly request: PendingRequest;
  readonly attempt: Attempt;
}

type ResultMessage = Reply | Rejected | Failed | Recovered;

/** Reasons after which another target may serve the request. */
const retriableReasons: ReadonlySet<NotRunReason> = new Set([
  'busy',
  'draining',
  'no-backend',
  'refused-id',
  'configuration-unknown',
]);
/** Maximum number of attempts per request, regardless of the retry budget. */
const maxAttempts = 4;

/** Matches answers to attempts and decides on retries and recovery. */
export class AttemptResults {
  /** Requests with an attempt on a lost connection. */
  private readonly lost = new Set<PendingRequest>();

  /** Attempts that may be hedged, by service, oldest first. */
  private readonly hedgeCandidates = new Map<string, Set<HedgeCandidate>>();

  constructor(private readonly parts: AttemptResultParts) {}

  /** Handles an answer of an agent or of another entry. */
  receive(peer: string, message: ResultMessage, body: Uint8Array | undefined, at: number): void {
    const key = getRequestKey(message.id);
    const request = this.parts.table.getRequest(key);
    const attempt = request?.attempts.get(message.attempt);
    if (!request || !attempt || attempt.peer !== peer) {
      return this.receiveLate(key, peer, message, at);
    }
    switch (message.kind) {
      case 'reply':
        this.end(request, attempt, 'reply', message.credit, at);
        return this.receiveReply(request, attempt, message, body, at);
      case 'rejected':
        this.end(request, attempt, 'rejected', message.credit, at);
        this.hold(request, attempt, message, at);
        return this.receiveNotRun(request, attempt, message.reason, at);
      case 'failed':
        this.end(request, attempt, getAttemptResult(message), message.credit, at);
        return this.receiveFailed(request, attempt, message.detail, at);
      case 'recovered':
        return this.receiveRecovered(request, attempt, message, at);
    }
  }

  /** Marks the attempts at a peer as lost after its connection closed; they may or may not have run. */
  handleDisconnect(peer: string, at: number): void {
    for (const orphan of this.parts.table.takeOrphansOf(peer))
      this.parts.routes.end(orphan.attempt, orphan.service);
    for (const request of [...this.parts.table.getRequests()]) {
      for (const attempt of request.attempts.values()) {
        if (attempt.peer === peer && attempt.state === 'sent') this.markLost(request, attempt, at);
      }
    }
  }

  /** Retries idempotent requests elsewhere when their host became suspect; an answer from it still counts. */
  retryRequestsAt(peer: string, at: number): void {
    for (const request of [...this.parts.table.getRequests()]) {
      if (!request.idempotent || !request.isInFlight || request.attempts.size !== 1) continue;
      const [attempt] = request.attempts.values();
      if (attempt!.peer !== peer || attempt!.replaced) continue;
      request.avoidedPeers.add(peer);
      if (this.retry(request, false, at)) attempt!.replaced = true;
    }
  }

  /** Asks a reconnected peer for the state of its lost attempts; those at a previous incarnation are given up. */
  queryLostAttempts(peer: string, incarnation: number, at: number): void {
    for (const request of [...this.lost]) {
      for (const attempt of [...request.attempts.values()]) {
        if (attempt.peer !== peer || attempt.state !== 'lost') continue;
        if (attempt.incarnation !== incarnation) {
          this.giveUp(request, attempt, 'the target restarted', at);
          continue;
        }
        const message = {kind: 'recover', id: request.id, attempt: attempt.number} as const;
        this.parts.outbox.add({kind: 'send', peer, message});
        this.parts.outbox.record({
          id: request.key,
          step: 'recover',
          peer,
          attempt: attempt.number,
        });
      }
    }
  }

  /** Gives up attempts that have been lost for longer than `recoverMs`. */
  tick(at: number): void {
    for (const orphan of this.parts.table.takeExpiredOrphans(at))
      this.parts.routes.end(orphan.attempt, orphan.service);
    for (const request of [...this.lost]) {
      if (this.parts.table.getRequest(request.key) !== request) {
        this.lost.delete(request);
        continue;
      }
      for (const attempt of [...request.attempts.values()]) {
        if (attempt.state === 'lost' && at - attempt.lostAt > this.parts.recoverMs)
          this.giveUp(request, attempt, 'the target did not come back', at);
      }
    }
  }

  /** Records an attempt that may be hedged when it becomes slow. */
  addHedgeCandidate(request: PendingRequest, attempt: Attempt): void {
    if (!request.idempotent || request.wasHedged || attempt.via !== 'dispatch') return;
    let candidates = this.hedgeCandidates.get(request.service);
    if (!candidates) this.hedgeCandidates.set(request.service, (candidates = new Set()));
    candidates.add({request, attempt});
  }

  /** Removes and returns the requests whose only attempt is slow enough for a hedge. */
  takeHedgeCandidates(at: number): HedgeCandidate[] {
    const slow: HedgeCandidate[] = [];
    for (const [service, candidates] of this.hedgeCandidates) {
      const delayMs = this.parts.hedges.getDelayMs(service) ?? Infinity;
      for (const entry of candidates) {
        const {request, attempt} = entry;
        const isOpen = request.attempts.get(attempt.number) === attempt;
        const pending = this.parts.table.getRequest(request.key) === request;
        // Attempts are in the order of sending, so the remaining ones are not slow yet either.
        if (isOpen && pending && at - attempt.sentAt <= delayMs) break;
        candidates.delete(entry);
        const alone = request.attempts.size === 1 && attempt.state === 'sent';
        if (isOpen && pending && alone && !request.wasHedged) slow.push(entry);
      }
    }
    return slow;
  }

  private receiveLate(key: string, peer: string, message: ResultMessage, at: number): void {
    if (message.kind === 'recovered') return;
    const orphan = this.parts.table.takeOrphan(key, message.attempt, peer);
    this.parts.outbox.count(orphan ? 'answers-late' : 'answers-unmatched');
    if (!orphan) return;
    this.parts.routes.end(orphan.attempt, orphan.service);
    const result = getAttemptResult(message);
    this.parts.routes.recordResult(orphan.attempt, orphan.service, result, message.credit, at);
  }

  private receiveReply(
    request: PendingRequest,
    attempt: Attempt,
    message: Reply,
    body: Uint8Array | undefined,
    at: number,
  ): void {
    if ((body?.byteLength ?? 0) !== message.bodyLength) {
      this.parts.outbox.count('answers-cut-short');
      return this.receiveFailed(request, attempt, 'answer cut short', at);
    }
    this.parts.hedges.addSample(request.service, at - attempt.sentAt);
    const {status, headers} = message;
    this.parts.outcomes.answer(request, status, headers, body ?? new Uint8Array(), at);
  }

  private receiveNotRun(
    request: PendingRequest,
    attempt: Attempt,
    reason: NotRunReason,
    at: number,
  ): void {
    const {outbox, outcomes} = this.parts;
    outbox.record({
      id: request.key,
      step: 'rejected',
      peer: attempt.peer,
      attempt: attempt.number,
      detail: reason,
    });
    request.avoidedPeers.add(attempt.peer);
    if (request.attempts.size > 0 || attempt.replaced) return;
    if (reason === 'deadline' || request.deadline <= at)
      return outcomes.notRun(request, 'deadline', at);
    if (!retriableReasons.has(reason) || !this.retry(request, reason === 'draining', at))
      outcomes.notRun(request, reason, at);
  }

  private receiveFailed(
    request: PendingRequest,
    attempt: Attempt,
    detail: string,
    at: number,
  ): void {
    request.mayHaveRun = true;
    request.avoidedPeers.add(attempt.peer);
    if (request.attempts.size > 0 || attempt.replaced) return;
    if (!request.idempotent || !this.retry(request, false, at))
      this.parts.outcomes.unknown(request, detail, at);
  }

  private receiveRecovered(
    request: PendingRequest,
    attempt: Attempt,
    message: Recovered,
    at: number,
  ): void {
    if (attempt.state !== 'lost') return;
    if (message.state === 'absent') {
      this.end(request, attempt, undefined, 0, at);
      return this.receiveNotRun(request, attempt, 'refused-id', at);
    }
    attempt.state = 'sent';
  }

  /** Marks an attempt as lost; an idempotent request is retried elsewhere, others wait for the recovery query. */
  private markLost(request: PendingRequest, attempt: Attempt, at: number): void {
    attempt.state = 'lost';
    attempt.lostAt = at;
    this.lost.add(request);
    const {key} = request;
    this.parts.outbox.record({id: key, step: 'lost', peer: attempt.peer, attempt: attempt.number});
    request.avoidedPeers.add(attempt.peer);
    const alone = [...request.attempts.values()].every(other => other.state === 'lost');
    if (!request.idempotent || !alone || !request.isInFlight) return;
    if (this.retry(request, false, at)) attempt.replaced = true;
  }

  private giveUp(request: PendingRequest, attempt: Attempt, detail: string, at: number): void {
    this.end(request, attempt, undefined, 0, at);
    this.receiveFailed(request, attempt, detail, at);
  }

  /** Queues a request again; returns false when it cannot be retried. */
  private retry(request: PendingRequest, isBudgetExempt: boolean, at: number): boolean {
    const {queue, routes, budget, outbox} = this.parts;
    const {service, deadline, body} = request;
    const mayForward = request.client.kind === 'caller';
    if (request.nextAttempt > maxAttempts || deadline <= at) return false;
    if (!routes.isServed(service, mayForward)) return false;
    if (!isBudgetExempt && !budget.spend()) {
      outbox.count('retries-over-budget');
      return false;
    }
    if (!queue.push(service, request, at, deadline, body.byteLength)) return false;
    if (request.isInFlight) {
      request.isInFlight = false;
      queue.release(service, at);
    }
    outbox.count('retries');
    return true;
  }

  private end(
    request: PendingRequest,
    attempt: Attempt,
    result: 'reply' | 'rejected' | 'failed' | 'cancelled' | undefined,
    credit: number,
    at: number,
  ): void {
    request.attempts.delete(attempt.number);
    this.parts.routes.end(attempt, request.service);
    if (result) this.parts.routes.recordResult(attempt, request.service, result, credit, at);
  }

  /** Applies the backoff that a target asked for: to the host, or to the service at another entry. */
  private hold(request: PendingRequest, attempt: Attempt, message: Rejected, at: number): void {
    if (message.holdMs <= 0) return;
    const until = at + message.holdMs;
    const host = this.parts.routes.hosts.getHost(attempt.peer);
    if (host) host.backoffUntil = until;
    this.parts.routes.peers.getPeer(attempt.peer)?.backoffUntil.set(request.service, until);
  }
}

/** Distinguishes cancelled exchanges from failures, because they indicate nothing about the health of the host. */
function getAttemptResult(
  message: Reply | Rejected | Failed,
): 'reply' | 'rejected' | 'failed' | 'cancelled' {
  return message.kind === 'failed' && message.detail === 'cancelled' ? 'cancelled' : message.kind;
}

import type {FairQueue} from '../admission/fair-queue.js';
import type {Failed, Forward, Headers, NotRunReason, Recover, Rejected} from '../messages/data.js';
import {getRequestKey} from '../messages/identity.js';
import type {EntryRequestsEffect, Outcome} from './entry-events.js';
import type {EntryRoutes} from '../routing/entry-routes.js';
import type {CachedAnswer, AnswerCache} from './answer-cache.js';
import type {Outbox} from '../outbox.js';
import type {PendingRequest} from './pending-request.js';
import type {RequestTable} from './request-table.js';

const emptyBody = new Uint8Array();
const none: Headers = [];
const retryAfterHeaders: Headers = [['retry-after', '1']];
/** Expected wait of a class above which other entries should forward fewer of its requests. */
const maxCreditWaitMs = 50;
/** Backoff that a forwarding entry is asked for after this entry shed one of its requests. */
const shedBackoffMs = 20;

/** HTTP status of a request that did not run. */
export function getNotRunStatus(reason: NotRunReason): number {
  if (reason === 'deadline') return 504;
  if (reason === 'too-large') return 413;
  if (reason === 'bad-request') return 400;
  return 503;
}

/** Objects that `OutcomeReporter` shares with `EntryRequests`. */
export interface OutcomeReporterParts {
  readonly outbox: Outbox<EntryRequestsEffect>;
  readonly table: RequestTable;
  readonly queue: FairQueue<PendingRequest>;
  readonly routes: EntryRoutes;
  readonly answerCache: AnswerCache;
}

/** Ends requests and reports exactly one outcome to the caller or the forwarding entry. */
export class OutcomeReporter {
  constructor(private readonly parts: OutcomeReporterParts) {}

  /** Ends a request with the complete answer of a backend server. */
  answer(
    request: PendingRequest,
    status: number,
    headers: Headers,
    body: Uint8Array,
    at: number,
  ): void {
    const {client, key} = request;
    if (client.kind === 'caller') {
      this.answerCaller(request, 'answered', status, headers, body, undefined, at);
    } else {
      this.parts.answerCache.add(key, {kind: 'answer', status, headers, body}, at);
      this.sendReply(request, status, headers, body);
    }
    this.close(request, at);
  }

  /** Refuses a request of a caller without storing any state for it. */
  refuseCaller(caller: number, reason: NotRunReason): void {
    const status = getNotRunStatus(reason);
    const headers = status === 503 ? retryAfterHeaders : none;
    const {outbox} = this.parts;
    outbox.add({
      kind: 'answer',
      caller,
      outcome: 'not-run',
      status,
      headers,
      body: emptyBody,
      reason,
    });
    outbox.count('requests-not-run');
    outbox.count(`requests-not-run-${reason}`);
  }

  /** Refuses a forwarded request without storing any state for it. */
  rejectForward(peer: string, forward: Forward, reason: NotRunReason): void {
    const {id, attempt, service} = forward;
    const holdMs = reason === 'shed' ? shedBackoffMs : 0;
    const credit = this.getCredit(service);
    const message: Rejected = {kind: 'rejected', id, attempt, reason, holdMs, credit};
    this.parts.outbox.add({kind: 'send', peer, message});
    this.parts.outbox.count(`requests-not-run-${reason}`);
  }

  /** Ends a request that did not run. It ends as unknown if an earlier attempt may have run. */
  notRun(request: PendingRequest, reason: NotRunReason, at: number): void {
    if (request.mayHaveRun || request.attempts.size > 0) return this.unknown(request, reason, at);
    const {client} = request;
    if (client.kind === 'caller') {
      const status = getNotRunStatus(reason);
      const headers = status === 503 ? retryAfterHeaders : none;
      this.answerCaller(request, 'not-run', status, headers, emptyBody, reason, at);
    } else {
      const holdMs = reason === 'shed' ? shedBackoffMs : 0;
      const {attempt} = client;
      const credit = this.getCredit(request.service);
      const message: Rejected = {kind: 'rejected', id: request.id, attempt, reason, holdMs, credit};
      this.parts.outbox.add({kind: 'send', peer: client.peer, message});
    }
    this.parts.outbox.count(`requests-not-run-${reason}`);
    this.close(request, at);
  }

  /** Ends a request that may or may not have run. */
  unknown(request: PendingRequest, detail: string, at: number): void {
    const {client} = request;
    if (client.kind === 'caller') {
      this.answerCaller(request, 'unknown', 502, [], emptyBody, undefined, at);
    } else {
      this.parts.answerCache.add(request.key, {kind: 'failed', detail}, at);
      const {attempt} = client;
      const credit = this.getCredit(request.service);
      const message: Failed = {kind: 'failed', id: request.id, attempt, detail, credit};
      this.parts.outbox.add({kind: 'send', peer: client.peer, message});
    }
    this.close(request, at);
  }

  /** Ends a request whose deadline has passed. */
  expire(request: PendingRequest, at: number): void {
    if (request.attempts.size > 0 || request.mayHaveRun)
      this.unknown(request, 'deadline passed', at);
    else this.notRun(request, 'deadline', at);
  }

  /** Ends a request whose caller is gone or whose forwarding entry cancelled it; no outcome is reported. */
  abandon(request: PendingRequest, at: number): void {
    this.parts.outbox.count('requests-abandoned');
    this.parts.outbox.record({id: request.key, step: 'abandoned'});
    const {client} = request;
    if (client.kind === 'entry') {
      // Without attempts the request did not run; refusing late duplicates ensures that it never does.
      if (request.attempts.size === 0 && !request.mayHaveRun)
        this.parts.answerCache.refuse(request.key, client.peer, client.attempt, at);
      else this.parts.answerCache.add(request.key, {kind: 'failed', detail: 'cancelled'}, at);
    }
    this.close(request, at);
  }

  /** Answers a duplicate of a forwarded request. Returns false when the request is new. */
  answerDuplicate(peer: string, message: Forward, key: string): boolean {
    const {id, attempt} = message;
    if (this.parts.answerCache.isRefused(key, peer, attempt)) {
      const credit = this.getCredit(message.service);
      const refused: Rejected = {
        kind: 'rejected',
        id,
        attempt,
        reason: 'refused-id',
        holdMs: 0,
        credit,
      };
      this.parts.outbox.add({kind: 'send', peer, message: refused});
      return true;
    }
    const pending = this.parts.table.getRequest(key);
    if (pending) {
      this.parts.outbox.count('forwards-duplicate');
      if (pending.client.kind !== 'entry') return true;
      // The outcome is sent to the latest duplicate only.
      pending.client.peer = peer;
      pending.client.attempt = attempt;
      return true;
    }
    const answer = this.parts.answerCache.getAnswer(key);
    if (!answer || (answer.kind === 'failed' && message.idempotent)) return false;
    this.parts.outbox.count('forwards-duplicate');
    this.sendCached(peer, message, answer);
    return true;
  }

  /** Answers a recovery query about a forwarded request. */
  recover(peer: string, message: Recover, at: number): void {
    const {id, attempt} = message;
    const key = getRequestKey(id);
    const pending = this.parts.table.getRequest(key);
    const answer = this.parts.answerCache.getOutcome(id);
    const state = pending ? 'running' : answer ? 'finished' : 'absent';
    this.parts.outbox.add({
      kind: 'send',
      peer,
      message: {kind: 'recovered', id, attempt, state},
    });
    if (pending?.client.kind === 'entry') {
      pending.client.peer = peer;
      pending.client.attempt = attempt;
    }
    if (state === 'finished') this.sendCached(peer, message, answer!);
    if (state === 'absent') this.parts.answerCache.refuse(key, peer, attempt, at);
  }

  private answerCaller(
    request: PendingRequest,
    outcome: Outcome,
    status: number,
    headers: Headers,
    body: Uint8Array,
    reason: NotRunReason | undefined,
    at: number,
  ): void {
    const {client, key} = request;
    if (client.kind !== 'caller') return;
    const {outbox} = this.parts;
    const {caller} = client;
    outbox.add({
      kind: 'answer',
      caller,
      outcome,
      status,
      headers,
      body,
      ...(reason && {reason}),
    });
    outbox.count(`requests-${outcome}`);
    if (outcome === 'answered') outbox.observe('request', at - request.receivedAt);
    outbox.record({id: key, step: outcome, ...(reason && {detail: reason})});
  }

  private sendReply(
    request: PendingRequest,
    status: number,
    headers: Headers,
    body: Uint8Array,
  ): void {
    const {client, id} = request;
    if (client.kind !== 'entry') return;
    const {peer, attempt} = client;
    const bodyLength = body.byteLength;
    const credit = this.getCredit(request.service);
    this.parts.outbox.add({
      kind: 'send',
      peer,
      message: {kind: 'reply', id, attempt, status, headers, bodyLength, credit},
      ...(bodyLength > 0 && {body}),
    });
  }

  private sendCached(peer: string, to: Forward | Recover, answer: CachedAnswer): void {
    const {id, attempt} = to;
    const credit = 1;
    if (answer.kind === 'failed') {
      const {detail} = answer;
      const message: Failed = {kind: 'failed', id, attempt, detail, credit};
      this.parts.outbox.add({kind: 'send', peer, message});
      return;
    }
    const {status, headers, body} = answer;
    const bodyLength = body.byteLength;
    this.parts.outbox.add({
      kind: 'send',
      peer,
      message: {kind: 'reply', id, attempt, status, headers, bodyLength, credit},
      ...(bodyLength > 0 && {body}),
    });
  }

  /** Returns 0 when further forwarded requests of a class would only lengthen the queue here, else 1. */
  private getCredit(service: string): number {
    const waitMs = this.parts.queue.getClassWaitMs(service);
    return waitMs > maxCreditWaitMs ? 0 : 1;
  }

  private close(request: PendingRequest, at: number): void {
    if (request.isInFlight) {
      request.isInFlight = false;
      this.parts.queue.release(request.service, at);
    } else {
      this.parts.queue.remove(request);
    }
    for (const attempt of request.attempts.values()) {
      if (attempt.state !== 'sent') continue;
      const {peer, number} = attempt;
      const message = {kind: 'cancel', id: request.id, attempt: number} as const;
      this.parts.outbox.add({kind: 'send', peer, message});
    }
    this.parts.table.remove(request, at);
  }
}

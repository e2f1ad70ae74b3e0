import {FairQueue} from '../admission/fair-queue.js';
import {Shares} from '../admission/shares.js';
import type {Configuration} from '../configuration/document.js';
import {BackendView} from '../membership/backend-view.js';
import {EntryConnections} from '../membership/entry-connections.js';
import type {Announce, Hello} from '../messages/control.js';
import type {Cancel, Dispatch, NotRunReason, Recover} from '../messages/data.js';
import {getRequestKey} from '../messages/identity.js';
import type {Reducer} from '../reducer.js';
import type {
  AgentExchangesEffect,
  AgentExchangesEvent,
  AgentSend,
  ExchangeFailed,
  ExchangeFinished,
} from './agent-events.js';
import {
  agentExchangesDefaults,
  type AgentExchangesOptions,
  type AgentExchangesSettings,
} from './agent-options.js';
import type {AgentWork, Waiter} from './agent-events.js';
import type {PeerMessage} from './entry-events.js';
import {AnswerCache, type CachedAnswer} from './answer-cache.js';
import {Outbox} from '../outbox.js';
import {StallDetector} from '../membership/stall-detector.js';

/** Backoff that entries are asked for when the host is busy. */
const busyBackoffMs = 10;
/** Time past the deadline after which an exchange that the I/O layer has not ended is aborted. */
const abortGraceMs = 100;

/** Exchanges of a host with its backend servers: concurrency limits, queueing, deduplication and recovery. */
export class AgentExchanges implements Reducer<AgentExchangesEvent, AgentExchangesEffect> {
  private readonly options: AgentExchangesOptions;
  private readonly outbox = new Outbox<AgentExchangesEffect>();
  private readonly backends: BackendView;
  private readonly queue: FairQueue<AgentWork>;
  private readonly shares = new Shares();
  private readonly answerCache = new AnswerCache();
  private readonly pendingWork = new Map<string, AgentWork>();
  private readonly exchanges = new Map<number, AgentWork>();
  private readonly peers = new EntryConnections();
  private configuration?: Configuration;
  private lastExchangeNumber = 0;
  private readonly stallDetector = new StallDetector();
  private lastAnnouncedState = '';
  private heartbeatSentAt = -Infinity;
  private drainStartedAt?: number;
  private isDrainReported = false;

  constructor(settings: AgentExchangesSettings) {
    this.options = {...agentExchangesDefaults, ...settings};
    this.backends = new BackendView(this.options.capacity.slots);
    this.queue = new FairQueue({standingMs: this.options.queueMs}, name =>
      this.shares.getQueueClass(name),
    );
  }

  /** Applies an event. */
  reduce(event: AgentExchangesEvent, at: number): readonly AgentExchangesEffect[] {
    this.stallDetector.recordEvent(at);
    this.apply(event, at);
    this.openExchanges(at);
    this.announceChange(at);
    this.reportDrained(at);
    return this.outbox.take();
  }

  private apply(event: AgentExchangesEvent, at: number): void {
    switch (event.kind) {
      case 'message':
        return this.receiveMessage(event, at);
      case 'peer-up':
        return this.connect(event.peer, event.hello, at);
      case 'peer-down':
        return this.disconnect(event.peer, at);
      case 'backend-announced':
        return this.backends.announce(event, at);
      case 'backend-lapsed':
        return this.backends.markGone(event.url);
      case 'exchange-finished':
        return this.handleFinished(event, at);
      case 'exchange-failed':
        return this.handleFailed(event, at);
      case 'configuration':
        this.configuration = event.configuration;
        this.shares.configure(this.queue, event.configuration);
        return this.refreshShares(at);
      case 'drain':
        this.drainStartedAt ??= at;
        return;
      case 'tick':
        return this.tick(at);
    }
  }

  private receiveMessage(event: PeerMessage, at: number): void {
    const {peer, message, body} = event;
    switch (message.kind) {
      case 'dispatch':
        return this.receiveDispatch(peer, message, body ?? new Uint8Array(), at);
      case 'cancel':
        return this.cancel(peer, message, at);
      case 'recover':
        return this.recover(peer, message, at);
      default:
        this.outbox.count('messages-refused');
    }
  }

  private receiveDispatch(peer: string, dispatch: Dispatch, body: Uint8Array, at: number): void {
    const key = getRequestKey(dispatch.id);
    const waiter: Waiter = {peer, attempt: dispatch.attempt, cancelled: false};
    const work: AgentWork = {
      key,
      dispatch,
      body,
      deadline: at + dispatch.remainingMs,
      waiters: [waiter],
      receivedAt: at,
      startedAt: 0,
      aborted: false,
    };
    if (this.answerCache.isRefused(key, peer, dispatch.attempt))
      return this.reject(work, waiter, 'refused-id', 0, at);
    if (this.answerDuplicate(key, dispatch, waiter, at)) return;
    const refusal = this.getRefusal(work, at);
    if (refusal) return this.reject(work, waiter, refusal, 0, at);
    const {service, class: requestClass} = dispatch;
    if (!this.configuration?.workloads.has(service)) {
      this.queue.setClass(service, {urgency: requestClass.urgency, guaranteed: 0, weight: 1});
    }
    if (!this.queue.push(service, work, at, work.deadline, body.byteLength))
      return this.reject(work, waiter, 'busy', busyBackoffMs, at);
    this.pendingWork.set(key, work);
    this.peers.recordUse(peer, at);
    this.peers.addInFlight(peer, 1);
  }

  /** Adds a duplicate to the waiters of pending work, or answers it from the cache, so that it does not run again. */
  private answerDuplicate(key: string, dispatch: Dispatch, waiter: Waiter, at: number): boolean {
    const work = this.pendingWork.get(key);
    if (work) {
      this.outbox.count('dispatches-duplicate');
      const {peer, attempt} = waiter;
      if (work.waiters.some(other => other.peer === peer && other.attempt === attempt)) return true;
      work.waiters.push(waiter);
      this.peers.addInFlight(peer, 1);
      return true;
    }
    const answer = this.answerCache.getAnswer(key);
    if (!answer || (answer.kind === 'failed' && dispatch.idempotent)) return false;
    this.outbox.count('dispatches-duplicate');
    this.sendAnswer(dispatch, waiter, answer, at);
    return true;
  }

  private getRefusal(work: AgentWork, at: number): NotRunReason | undefined {
    const {dispatch, body} = work;
    if (body.byteLength !== dispatch.bodyLength) return 'bad-request';
    if (dispatch.remainingMs <= 0) return 'deadline';
    const {drainGraceMs} = this.options;
    if (this.drainStartedAt !== undefined && at - this.drainStartedAt > drainGraceMs)
      return 'draining';
    const refusal = this.backends.getRefusal(dispatch.service, drainGraceMs, at);
    return refusal ?? (this.stallDetector.isSettling(at) ? 'busy' : undefined);
  }

  private cancel(peer: string, message: Cancel, at: number): void {
    const work = this.pendingWork.get(getRequestKey(message.id));
    const waiter = work?.waiters.find(
      candidate => candidate.peer === peer && candidate.attempt === message.attempt,
    );
    if (!work || !waiter) return;
    waiter.cancelled = true;
    if (work.exchange !== undefined || work.waiters.some(other => !other.cancelled)) return;
    this.outbox.count('dispatches-cancelled');
    this.rejectWork(work, 'cancelled', 0, at);
  }

  private recover(peer: string, message: Recover, at: number): void {
    const {id, attempt} = message;
    const key = getRequestKey(id);
    const work = this.pendingWork.get(key);
    const answer = this.answerCache.getOutcome(id);
    const state = work ? 'running' : answer ? 'finished' : 'absent';
    this.sendTo(peer, {kind: 'recovered', id, attempt, state});
    const waiter: Waiter = {peer, attempt, cancelled: false};
    if (work && !work.waiters.some(other => other.peer === peer && other.attempt === attempt)) {
      work.waiters.push(waiter);
      this.peers.addInFlight(peer, 1);
    }
    if (state === 'finished') this.sendAnswer(message, waiter, answer!, at);
    if (state === 'absent') this.answerCache.refuse(key, peer, attempt, at);
  }

  private connect(peer: string, hello: Hello, at: number): void {
    if (hello.role !== 'entry') return;
    this.peers.add(peer);
    this.outbox.add({kind: 'send', peer, message: this.getAnnounce(at)});
    this.sendHeartbeat(peer, at);
  }

  /** Rejects queued work that only the disconnected entry waits for. */
  private disconnect(peer: string, at: number): void {
    this.peers.remove(peer);
    for (const work of [...this.pendingWork.values()]) {
      if (work.exchange !== undefined) continue;
      if (work.waiters.every(other => other.peer === peer || other.cancelled))
        this.rejectWork(work, 'cancelled', 0, at);
    }
  }

  private handleFinished(event: ExchangeFinished, at: number): void {
    const {status, headers, body} = event;
    const isTooLarge = body.byteLength > this.options.maxAnswerBytes;
    const answer: CachedAnswer = isTooLarge
      ? {kind: 'failed', detail: 'answer larger than the limit'}
      : {kind: 'answer', status, headers, body};
    const work = this.closeExchange(event.exchange, at);
    if (work) this.completeWork(work, answer, at);
  }

  private handleFailed(event: ExchangeFailed, at: number): void {
    const work = this.closeExchange(event.exchange, at);
    if (!work) return;
    this.outbox.count(event.begun ? 'exchanges-failed' : 'exchanges-refused');
    if (event.begun) return this.completeWork(work, {kind: 'failed', detail: event.detail}, at);
    this.backends.pause(work.url!, at);
    this.rejectWork(work, 'no-backend', busyBackoffMs * 10, at);
  }

  private closeExchange(exchange: number, at: number): AgentWork | undefined {
    const work = this.exchanges.get(exchange);
    if (!work) {
      this.outbox.count('exchanges-unmatched');
      return undefined;
    }
    this.exchanges.delete(exchange);
    this.backends.end(work.url!);
    this.queue.release(work.dispatch.service, at);
    this.outbox.observe('exchange', at - work.startedAt);
    return work;
  }

  private completeWork(work: AgentWork, answer: CachedAnswer, at: number): void {
    this.pendingWork.delete(work.key);
    this.answerCache.add(work.key, answer, at);
    for (const waiter of work.waiters) this.peers.addInFlight(waiter.peer, -1);
    for (const waiter of work.waiters) {
      // A cancelled attempt gets a short message instead of the answer, to save bandwidth.
      const sentAnswer = waiter.cancelled ? {kind: 'failed', detail: 'cancelled'} : answer;
      this.sendAnswer(work.dispatch, waiter, sentAnswer as CachedAnswer, at);
    }
  }

  /** Ends work that has not begun and rejects the attempts that wait for it. */
  private rejectWork(work: AgentWork, reason: NotRunReason, holdMs: number, at: number): void {
    this.queue.remove(work);
    this.pendingWork.delete(work.key);
    for (const waiter of work.waiters) this.peers.addInFlight(waiter.peer, -1);
    for (const waiter of work.waiters) {
      if (waiter.cancelled) this.answerCache.refuse(work.key, waiter.peer, waiter.attempt, at);
      this.reject(work, waiter, waiter.cancelled ? 'cancelled' : reason, holdMs, at);
    }
  }

  /** Opens exchanges for queued work while a backend server has a free slot. */
  private openExchanges(at: number): void {
    for (;;) {
      const taken = this.queue.dequeue(at, work =>
        work.deadline <= at ? undefined : this.backends.choose(work.dispatch.service, at),
      );
      if (!taken) return;
      const {item: work, target} = taken;
      this.backends.begin(target);
      work.exchange = ++this.lastExchangeNumber;
      work.url = target.announced.url;
      this.outbox.observe('agent-wait', at - work.receivedAt);
      work.startedAt = at;
      this.exchanges.set(work.exchange, work);
      const {service, method, path, headers} = work.dispatch;
      const {exchange, url, body} = work;
      const timeoutMs = work.deadline - at;
      this.outbox.add({
        kind: 'open-exchange',
        ...{exchange, url, service, method, path, headers, body, timeoutMs},
      });
      this.outbox.record({id: work.key, step: 'exchange', detail: url});
    }
  }

  private tick(at: number): void {
    for (const work of this.queue.shed(at))
      this.rejectWork(work, work.deadline <= at ? 'deadline' : 'busy', busyBackoffMs, at);
    for (const work of this.exchanges.values()) {
      if (work.aborted || at < work.deadline + abortGraceMs) continue;
      work.aborted = true;
      this.outbox.add({kind: 'abort-exchange', exchange: work.exchange!});
    }
    this.answerCache.trim(at);
    if (at - this.heartbeatSentAt < this.options.heartbeatMs) return;
    this.heartbeatSentAt = at;
    this.refreshShares(at);
    for (const peer of this.peers.getNames()) this.sendHeartbeat(peer, at);
  }

  private refreshShares(at: number): void {
    if (!this.configuration) return;
    this.queue.setScale(this.shares.getScale(this.backends.getSlots(at), 0));
  }

  private getAnnounce(at: number): Announce {
    const {host, rack, capacity} = this.options;
    const services = this.backends.getServices(at);
    const slots = this.backends.getSlots(at);
    const connections = this.backends.getConnections(at);
    // A host whose backend servers are all draining accepts no new tasks either.
    const draining = this.drainStartedAt !== undefined || this.backends.isDraining(at);
    return {kind: 'announce', host, rack, capacity, services, slots, connections, draining};
  }

  private announceChange(at: number): void {
    const message = this.getAnnounce(at);
    const text = `${message.services.join()} ${message.slots} ${message.connections} ${message.draining}`;
    if (text === this.lastAnnouncedState) return;
    this.lastAnnouncedState = text;
    this.refreshShares(at);
    this.outbox.add({kind: 'announce', message});
  }

  private sendHeartbeat(peer: string, at: number): void {
    const configVersion = this.configuration?.version ?? 0;
    const inFlight = this.pendingWork.size;
    this.outbox.add({
      kind: 'send',
      peer,
      message: {kind: 'heartbeat', stamp: at, configVersion, inFlight},
    });
  }

  private sendAnswer(
    to: Dispatch | Recover,
    waiter: Waiter,
    answer: CachedAnswer,
    at: number,
  ): void {
    const {id} = to;
    const {peer, attempt} = waiter;
    const credit = this.getCredit(peer, at);
    if (answer.kind === 'failed') {
      this.sendTo(peer, {kind: 'failed', id, attempt, detail: answer.detail, credit});
      return;
    }
    const {status, headers, body} = answer;
    const bodyLength = body.byteLength;
    this.sendTo(peer, {kind: 'reply', id, attempt, status, headers, bodyLength, credit}, body);
  }

  private reject(
    work: AgentWork,
    waiter: Waiter,
    reason: NotRunReason,
    holdMs: number,
    at: number,
  ): void {
    const {peer, attempt} = waiter;
    const credit = this.getCredit(peer, at);
    const {id} = work.dispatch;
    this.outbox.count(`dispatches-rejected-${reason}`);
    this.sendTo(peer, {kind: 'rejected', id, attempt, reason, holdMs, credit});
  }

  private sendTo(peer: string, message: AgentSend['message'], body?: Uint8Array): void {
    if (!this.peers.has(peer)) return;
    const bodyPart = body && body.byteLength > 0 ? {body} : {};
    this.outbox.add({kind: 'send', peer, message, ...bodyPart});
  }

  private getCredit(peer: string, at: number): number {
    const slots = this.backends.getSlots(at);
    return this.peers.getCredit(peer, slots, slots - this.pendingWork.size, at);
  }

  private reportDrained(at: number): void {
    if (this.drainStartedAt === undefined || this.isDrainReported) return;
    if (at - this.drainStartedAt <= this.options.drainGraceMs || this.pendingWork.size > 0) return;
    this.isDrainReported = true;
    this.outbox.add({kind: 'drained'});
  }
}

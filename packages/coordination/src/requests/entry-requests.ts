import {FairQueue} from '../admission/fair-queue.js';
import {RetryBudget} from '../admission/retry-budget.js';
import {Shares} from '../admission/shares.js';
import type {Configuration} from '../configuration/document.js';
import type {Announce, Hello, Summary} from '../messages/control.js';
import type {Dispatch, Forward, NotRunReason} from '../messages/data.js';
import {getRequestKey} from '../messages/identity.js';
import {mergeSummary, SummaryTracker} from '../routing/summaries.js';
import type {Reducer} from '../reducer.js';
import {HedgePolicy} from '../routing/hedge-policy.js';
import {AttemptResults} from './attempt-results.js';
import {OutcomeReporter} from './outcome-reporter.js';
import type {
  CallerRequest,
  EntryRequestsEffect,
  EntryRequestsEvent,
  PeerMessage,
} from './entry-events.js';
import {EntryRoutes, type Target} from '../routing/entry-routes.js';
import {
  entryRequestsDefaults,
  type EntryRequestsOptions,
  type EntryRequestsSettings,
} from './entry-options.js';
import {AnswerCache} from './answer-cache.js';
import {Outbox} from '../outbox.js';
import {
  isIdempotent,
  createRequestProgress,
  type Attempt,
  type PendingRequest,
} from './pending-request.js';
import {RequestTable} from './request-table.js';

const shareRefreshIntervalMs = 200;
const summaryIntervalMs = 1000;

/** Handles requests at an entry from their arrival to exactly one outcome. */
export class EntryRequests implements Reducer<EntryRequestsEvent, EntryRequestsEffect> {
  private readonly options: EntryRequestsOptions;
  private readonly outbox = new Outbox<EntryRequestsEffect>();
  private readonly routes: EntryRoutes;
  private readonly table = new RequestTable();
  private readonly queue: FairQueue<PendingRequest>;
  private readonly retryBudget = new RetryBudget();
  private readonly hedges: HedgePolicy;
  private readonly answerCache = new AnswerCache();
  private readonly outcomes: OutcomeReporter;
  private readonly results: AttemptResults;
  private configuration?: Configuration;
  private refused = false;
  private sequence = 0;
  private drainStartedAt?: number;
  private isDrainReported = false;
  private readonly shares = new Shares();
  private sharesRefreshedAt = -Infinity;
  private readonly summaries: SummaryTracker;
  private summarySentAt = -Infinity;

  constructor(settings: EntryRequestsSettings) {
    this.options = {...entryRequestsDefaults, ...settings};
    this.hedges = new HedgePolicy(this.options.hedgeRatio);
    this.queue = new FairQueue(this.options.queue, name => this.shares.getQueueClass(name));
    this.routes = new EntryRoutes(this.options);
    this.summaries = new SummaryTracker(this.options.dataCentre);
    const {outbox, table, queue, routes, answerCache} = this;
    this.outcomes = new OutcomeReporter({outbox, table, queue, routes, answerCache});
    this.results = new AttemptResults({
      outbox,
      table,
      queue,
      routes,
      outcomes: this.outcomes,
      budget: this.retryBudget,
      hedges: this.hedges,
      recoverMs: this.options.recoverMs,
    });
  }

  /** Applies an event. */
  reduce(event: EntryRequestsEvent, at: number): readonly EntryRequestsEffect[] {
    this.refused = false;
    this.apply(event, at);
    // A refusal frees no capacity; searching for hosts again would make it several times as expensive.
    if (!this.refused) this.sendQueued(at);
    this.reportDrained(at);
    return this.outbox.take();
  }

  private apply(event: EntryRequestsEvent, at: number): void {
    switch (event.kind) {
      case 'caller-request':
        return this.receive(event, at);
      case 'caller-gone':
        return this.abandonCaller(event.caller, at);
      case 'message':
        return this.receiveMessage(event, at);
      case 'peer-up':
        return this.connect(event.peer, event.hello, at);
      case 'peer-down':
        return this.disconnect(event.peer, at);
      case 'announce':
        return this.announce(event.peer, event.message, at);
      case 'heartbeat': {
        this.routes.hosts.recordMessage(event.peer, at);
        this.routes.decaySlowness(event.peer);
        const host = this.routes.hosts.getHost(event.peer);
        if (!host) return;
        host.reportedInFlight = event.message.inFlight;
        host.sentSinceReport = 0;
        return;
      }
      case 'summary': {
        const peer = this.routes.peers.getPeer(event.peer);
        if (peer) peer.summary = mergeSummary(peer.summary, event.message);
        return;
      }
      case 'configuration':
        this.configuration = event.configuration;
        this.routes.hosts.setDrains(event.configuration.drains);
        this.shares.configure(this.queue, event.configuration);
        return this.refreshShares(at);
      case 'drain':
        this.drainStartedAt ??= at;
        return this.sendSummary(at);
      case 'tick':
        return this.tick(at);
    }
  }

  private receive(event: CallerRequest, at: number): void {
    const {service, method, path, headers, body, caller} = event;
    const deadline = at + Math.max(0, Math.min(event.timeoutMs, this.options.maxTimeoutMs));
    this.outbox.count('requests-received');
    const refusal = this.getRefusal(service, body.byteLength, deadline, true, at);
    this.refused = refusal !== undefined;
    if (refusal) return this.outcomes.refuseCaller(caller, refusal);
    const id = {origin: this.options.incarnation, sequence: ++this.sequence};
    const {team, kind, urgency, idempotentMethods} = this.configuration!.workloads.get(service)!;
    this.admit(
      {
        id,
        key: getRequestKey(id),
        client: {kind: 'caller', caller},
        service,
        class: {team, kind, urgency},
        idempotent: isIdempotent(method, event.idempotent, idempotentMethods),
        method,
        path,
        headers,
        body,
        receivedAt: at,
        deadline,
        ...createRequestProgress(),
      },
      at,
    );
  }

  private admit(request: PendingRequest, at: number): void {
    this.table.add(request);
    this.retryBudget.earn();
    this.hedges.earn();
    const {service, body, deadline} = request;
    if (!this.queue.push(service, request, at, deadline, body.byteLength))
      this.outcomes.notRun(request, 'shed', at);
  }

  /** Returns the reason to refuse a request, if any, before any state is stored for it, so that refusals are cheap. */
  private getRefusal(
    service: string,
    bytes: number,
    deadline: number,
    mayForward: boolean,
    at: number,
  ): NotRunReason | undefined {
    const {settleMs, maxRequestBytes} = this.options;
    if (this.drainStartedAt !== undefined && at - this.drainStartedAt > settleMs) return 'draining';
    if (bytes > maxRequestBytes) return 'too-large';
    if (!this.configuration) return 'configuration-unknown';
    if (deadline <= at) return 'deadline';
    if (!this.configuration.workloads.has(service)) return 'no-backend';
    if (!this.routes.isServed(service, mayForward)) return 'no-backend';
    return this.queue.isShedding(service, at) ? 'shed' : undefined;
  }

  private abandonCaller(caller: number, at: number): void {
    const request = this.table.getByCaller(caller);
    if (request) this.outcomes.abandon(request, at);
  }

  private receiveMessage(event: PeerMessage, at: number): void {
    const {peer, message, body} = event;
    switch (message.kind) {
      case 'forward':
        return this.receiveForward(peer, message, body, at);
      case 'cancel': {
        const request = this.table.getRequest(getRequestKey(message.id));
        if (request?.client.kind !== 'entry' || request.client.peer !== peer) return;
        if (request.client.attempt === message.attempt) this.outcomes.abandon(request, at);
        return;
      }
      case 'recover':
        return this.outcomes.recover(peer, message, at);
      case 'reply':
      case 'rejected':
      case 'failed':
      case 'recovered':
        return this.results.receive(peer, message, body, at);
      default:
        this.outbox.count('messages-refused');
    }
  }

  /** Accepts a request that another entry forwarded; it is not forwarded again. */
  private receiveForward(
    peer: string,
    message: Forward,
    body: Uint8Array | undefined,
    at: number,
  ): void {
    const key = getRequestKey(message.id);
    if (this.outcomes.answerDuplicate(peer, message, key)) return;
    const bytes = body?.byteLength ?? 0;
    const deadline = at + message.remainingMs;
    this.outbox.count('forwards-received');
    const refusal =
      bytes === message.bodyLength
        ? this.getRefusal(message.service, bytes, deadline, false, at)
        : 'bad-request';
    if (refusal) return this.outcomes.rejectForward(peer, message, refusal);
    const {id, service, idempotent, method, path, headers} = message;
    this.admit(
      {
        id,
        key,
        client: {kind: 'entry', peer, attempt: message.attempt},
        service,
        class: message.class,
        idempotent,
        method,
        path,
        headers,
        body: body ?? new Uint8Array(),
        receivedAt: at,
        deadline,
        ...createRequestProgress(),
      },
      at,
    );
  }

  private connect(peer: string, hello: Hello, at: number): void {
    const previousIncarnation =
      hello.role === 'agent'
        ? this.routes.hosts.getHost(peer)?.hello.incarnation
        : this.routes.peers.getPeer(peer)?.hello.incarnation;
    if (hello.role === 'agent') {
      this.routes.hosts.connect(peer, hello, at);
    } else {
      this.routes.peers.connect(peer, hello);
      this.outbox.add({kind: 'summary', to: peer, message: this.getSummary()});
    }
    this.results.queryLostAttempts(peer, hello.incarnation, at);
    if (previousIncarnation !== hello.incarnation) this.refreshShares(at);
  }

  private disconnect(peer: string, at: number): void {
    this.routes.hosts.disconnect(peer);
    this.routes.peers.disconnect(peer);
    this.results.handleDisconnect(peer, at);
  }

  private announce(peer: string, message: Announce, at: number): void {
    const host = this.routes.hosts.getHost(peer);
    if (!host) return;
    const previousSlots = host.announce?.slots;
    host.announce = message;
    this.routes.hosts.recordMessage(peer, at);
    if (previousSlots !== message.slots) this.refreshShares(at);
  }

  private tick(at: number): void {
    for (const request of this.table.getExpired(at)) this.outcomes.expire(request, at);
    for (const request of this.queue.shed(at)) this.shed(request, at);
    for (const host of this.routes.hosts.detectSuspects(at)) {
      this.outbox.count('hosts-suspected');
      this.results.retryRequestsAt(host.peer, at);
    }
    this.results.tick(at);
    this.hedge(at);
    this.answerCache.trim(at);
    if (at - this.sharesRefreshedAt >= shareRefreshIntervalMs) this.refreshShares(at);
    if (at - this.summarySentAt >= summaryIntervalMs) this.sendSummary(at);
  }

  /** Ends a request that waited too long in the queue, unless an earlier attempt may still be answered. */
  private shed(request: PendingRequest, at: number): void {
    if (request.attempts.size === 0 || request.deadline <= at)
      return this.outcomes.notRun(request, 'shed', at);
    // The retry is dropped, so the earlier attempts decide the outcome again.
    for (const attempt of request.attempts.values()) attempt.replaced = false;
    this.outbox.count('retries-shed');
  }

  private refreshShares(at: number): void {
    if (!this.configuration) return;
    this.sharesRefreshedAt = at;
    const {available, slots} = this.routes.getCapacity();
    this.queue.setScale(this.shares.getScale(available, slots));
  }

  /** Full summary of the services of this entry, for a newly connected entry. */
  getSummary(): Summary {
    return this.summaries.getFullSummary();
  }

  private sendSummary(at: number): void {
    this.summarySentAt = at;
    // A draining entry publishes no services, so that the others stop forwarding to it.
    const services = this.drainStartedAt === undefined ? this.routes.getServices() : new Map();
    const message = this.summaries.update(services);
    if (message) this.outbox.add({kind: 'summary', message});
  }

  /** Sends queued requests while a target has free capacity. */
  private sendQueued(at: number): void {
    for (;;) {
      const taken = this.queue.dequeue(at, request =>
        request.deadline <= at ? undefined : this.route(request, at),
      );
      if (!taken) return;
      taken.item.isInFlight = true;
      this.outbox.observe('queue-wait', at - taken.item.receivedAt);
      this.send(taken.item, taken.target, at);
    }
  }

  private route(request: PendingRequest, at: number): Target | undefined {
    const {service, client, idempotent, avoidedPeers} = request;
    return this.routes.choose(service, at, client.kind === 'caller', idempotent, avoidedPeers);
  }

  private send(request: PendingRequest, target: Target, at: number): void {
    this.routes.begin(target, request.service);
    const {peer, hello, outstanding} = this.routes.getTargetState(target);
    const attempt: Attempt = {
      number: request.nextAttempt++,
      peer,
      incarnation: hello.incarnation,
      via: target.via,
      sentAt: at,
      inFlightWhenSent: outstanding,
      state: 'sent',
      lostAt: 0,
      replaced: false,
    };
    request.attempts.set(attempt.number, attempt);
    this.results.addHedgeCandidate(request, attempt);
    const message: Dispatch | Forward = {
      kind: target.via,
      id: request.id,
      attempt: attempt.number,
      service: request.service,
      class: request.class,
      idempotent: request.idempotent,
      remainingMs: Math.max(1, request.deadline - at - this.routes.estimateOneWayMs(attempt)),
      method: request.method,
      path: request.path,
      headers: request.headers,
      bodyLength: request.body.byteLength,
    };
    const {body} = request;
    this.outbox.add({kind: 'send', peer, message, ...(body.byteLength > 0 && {body})});
    this.outbox.count('attempts-sent');
    this.outbox.record({id: request.key, step: target.via, peer, attempt: attempt.number});
  }

  /** Sends a second copy of slow idempotent requests, within the hedge budget. */
  private hedge(at: number): void {
    for (const {request, attempt} of this.results.takeHedgeCandidates(at)) {
      const target = this.routes.choose(request.service, at, false, true, new Set([attempt.peer]));
      if (!target || !this.hedges.spend()) continue;
      request.wasHedged = true;
      this.outbox.count('requests-hedged');
      this.send(request, target, at);
    }
  }

  private reportDrained(at: number): void {
    if (this.drainStartedAt === undefined || this.isDrainReported) return;
    if (at - this.drainStartedAt <= this.options.settleMs || this.table.getSize() > 0) return;
    this.isDrainReported = true;
    this.outbox.add({kind: 'drained'});
  }
}

import {
  type AgentMessage,
  getWorkerIncarnation,
  type OwnerMessage,
  type WorkerDescription,
} from '@chervilbeam/coordination';
import {dialLink, type Link, type LinkHandlers} from '../links/link.js';
import {TrafficMeter} from '../links/traffic-meter.js';
import {AcknowledgementPause} from './acknowledgement-pause.js';
import type {AgentNodeOptions} from './agent-node-options.js';
import {FormerIncarnation} from './former-incarnation.js';
import {OwnerSearch} from './owner-search.js';
import {RunReports} from './run-reports.js';
import {WorkerCommands} from './worker-commands.js';
import {WorkerConfirmation} from './worker-confirmation.js';
import {type WorkerEndReason, WorkerPresence} from './worker-presence.js';
import {isFromIncarnation, type LeaseRenewalReply} from './worker-port.js';

/** Long-poll time in milliseconds of a renewal that waits for a run to end; also the longest report interval. */
const renewalWaitMs = 800;
/** Delay in milliseconds before a renewal that failed is retried. */
const renewalRetryDelayMs = 250;
/** The same while a worker is leaving, whose tasks wait for its end. */
const leavingRetryDelayMs = 50;
/** Time in milliseconds within which an entry must name the owner before the next entry is dialled. */
const entryAnswerTimeoutMs = 700;
/** Redirections followed without a delay; entries that disagree on the owner may redirect an agent in a loop. */
const maxRedirections = 2;

type OwnerAcceptance = Extract<OwnerMessage, {kind: 'owner'}>;

type OwnerLink = Link<OwnerMessage, AgentMessage>;

/**
 * The agent on a host. It forwards the owner's commands to the local worker, renews the worker's lease and reports the
 * worker's runs to the owner.
 */
export class AgentNode {
  private readonly search: OwnerSearch;
  private readonly commands: WorkerCommands;
  private readonly confirmation: WorkerConfirmation;
  private readonly traffic: TrafficMeter;
  private link: OwnerLink | undefined;
  private linkAddress = '';
  private dialledAt = 0;
  private redirections = 0;
  private isAcceptedByOwner = false;
  private term = 0;
  /** Fencing token of all calls to the worker: the highest that an owner has stated. */
  private token = 0;
  /** Whether the worker has answered as the known incarnation since the latest call that failed. */
  private isIncarnationSure = false;
  private worker: WorkerDescription | undefined;
  private former: FormerIncarnation | undefined;
  /** Whether the worker has restarted under the same id and the new incarnation has not sent a heartbeat yet. */
  private isWorkerReplaced = false;
  /** End of the worker's lease, in milliseconds on its clock: until then the owner allows its runs to continue. */
  private deadlineMs: number | undefined;
  /** Highest sequence number up to which the owner has stored the ends of runs. */
  private acknowledged = 0;
  private readonly reports = new RunReports();
  private presence: WorkerPresence;
  /** Generation of the current renewal loop; a loop ends once this number has changed. */
  private renewalGeneration = 0;
  private readonly acknowledgementPause = new AcknowledgementPause();
  private isStopped = false;

  constructor(private readonly options: AgentNodeOptions) {
    this.presence = this.createPresence();
    this.search = new OwnerSearch({
      ...options,
      onOwner: (address, term) => this.connectToOwner(address, term),
      onEntry: address => this.connectToEntry(address),
    });
    this.traffic = new TrafficMeter(options.metrics, options.log);
    this.commands = new WorkerCommands({
      ...options,
      getContext: () => ({
        worker: this.worker,
        isIncarnationSure: this.isIncarnationSure && !this.isWorkerReplaced,
        term: this.term,
        token: this.token,
      }),
      onUnanswered: () => (this.isIncarnationSure = false),
      sendResult: ({order, term}, outcome) => this.send({kind: 'result', order, term, outcome}),
    });
    this.confirmation = new WorkerConfirmation({
      ...options,
      getToken: () => this.token,
      onConfirmed: worker => this.adoptWorker(worker),
    });
  }

  /** Starts the search for the owner. */
  start(): void {
    this.traffic.start();
    this.search.start();
  }

  /** Closes the link and stops the renewals; the worker's runs continue under their lease. */
  stop(): void {
    this.isStopped = true;
    this.search.stop();
    this.traffic.stop();
    this.renewalGeneration += 1;
    this.link?.end();
  }

  /**
   * Handles the worker's description from a heartbeat. Another incarnation than the present one is adopted only after
   * the worker on this host has confirmed it.
   */
  updateWorker(worker: WorkerDescription): void {
    const former = this.worker;
    if (former?.life !== worker.life) return this.confirmation.add(worker);
    if (former.service !== worker.service) {
      // An incarnation belongs to one service for all its life, so another writer has sent this.
      this.options.log.log('worker-unconfirmed', {worker: worker.life, service: worker.service});
      return;
    }
    this.worker = worker;
    this.presence.recordHeartbeat(this.options.clock.now());
    if (JSON.stringify(former) === JSON.stringify(worker)) return;
    if (former.state !== 'draining') this.logDraining(worker);
    this.sendWorker();
  }

  /** Takes an incarnation for the worker on this host; resets the lease deadline and the acknowledged ends. */
  private adoptWorker(worker: WorkerDescription): void {
    const former = this.worker;
    if (former) this.former = new FormerIncarnation(former.life, this.presence.silentAt);
    this.confirmation.clear();
    this.worker = worker;
    this.isWorkerReplaced = false;
    this.isIncarnationSure = true;
    this.deadlineMs = undefined;
    this.acknowledged = 0;
    this.reports.reset();
    this.presence = this.createPresence();
    this.options.log.log('worker-up', {worker: worker.life, former: former?.life});
    this.logDraining(worker);
    this.sendWorker();
    this.startRenewalLoop();
  }

  private logDraining({life, state, remainingMs}: WorkerDescription): void {
    if (state !== 'draining') return;
    this.options.log.log('worker-draining', {worker: life, remainingMs});
  }

  /**
   * Handles the farewell of a worker that shuts down. That of an earlier incarnation is ignored; one without a start
   * time, in Unix milliseconds, is taken as that of the present incarnation.
   */
  handleFarewell(id: string, startedAtMs?: number): void {
    const {worker} = this;
    if (worker?.id !== id) return;
    if (startedAtMs !== undefined && getWorkerIncarnation(id, startedAtMs) !== worker.life) return;
    // Its runs end with its process, which may go on for a while; until then it gets no more of them.
    this.presence.recordFarewell();
    this.worker = {...worker, state: 'draining', remainingMs: 0};
    this.sendWorker();
  }

  private createPresence(): WorkerPresence {
    const {clock, heartbeatIntervalMs} = this.options;
    return new WorkerPresence(heartbeatIntervalMs, clock.now());
  }

  /** Reports the worker as gone and ends its renewals. */
  private dropWorker(reason: WorkerEndReason): void {
    const {worker} = this;
    if (worker === undefined) return;
    const {clock, log} = this.options;
    const silentMs = this.presence.getSilentMs(clock.now());
    log.log('worker-gone', {worker: worker.life, reason, silentMs: Math.round(silentMs)});
    this.send({kind: 'worker-gone', life: worker.life, reason, silentMs});
    this.former = new FormerIncarnation(worker.life, this.presence.silentAt);
    this.worker = undefined;
    this.renewalGeneration += 1;
  }

  /** Describes the worker to the owner. */
  private sendWorker(): void {
    const {worker, former} = this;
    if (worker === undefined) return;
    const at = this.options.clock.now();
    this.send({kind: 'worker', worker, ...(former && {former: former.toMessage(at)})});
  }

  private send(message: AgentMessage): void {
    if (this.isAcceptedByOwner) this.link?.send(message);
  }

  /** Dials the owner unless a link to it is open or being opened; a link to an owner with a lower term is replaced. */
  private connectToOwner(address: string, term: number): void {
    if (this.isStopped || (this.isAcceptedByOwner && term <= this.term)) return;
    if (this.link !== undefined && this.linkAddress === address && !this.isAcceptedByOwner) return;
    this.replaceLink(address);
  }

  /**
   * Dials an entry that may know the owner. A host that is down never answers, so the next entry is dialled after
   * `entryAnswerTimeoutMs`.
   */
  private connectToEntry(address: string): void {
    if (this.isStopped || this.isAcceptedByOwner) return;
    const isPending = this.link !== undefined;
    if (isPending && this.options.clock.now() - this.dialledAt < entryAnswerTimeoutMs) return;
    this.replaceLink(address);
  }

  private replaceLink(address: string): void {
    const {link} = this;
    this.link = undefined;
    this.isAcceptedByOwner = false;
    link?.destroy('other-address');
    this.redirections = 0;
    this.dial(address);
  }

  private dial(address: string): void {
    const {name, dataCentre, incarnation, log, clock, dial = dialLink} = this.options;
    const handlers: LinkHandlers<OwnerMessage> = {
      message: message => this.receive(link, message),
      closed: reason => {
        if (this.link !== link) return;
        if (this.isAcceptedByOwner) log.log('owner-lost', {address, reason});
        this.link = undefined;
        this.isAcceptedByOwner = false;
        if (!this.isStopped) this.search.start();
      },
    };
    const link: OwnerLink = dial(address, handlers, this.traffic);
    this.link = link;
    this.linkAddress = address;
    this.dialledAt = clock.now();
    link.send({kind: 'agent', agent: name, dataCentre, incarnation});
  }

  private receive(link: OwnerLink, message: OwnerMessage): void {
    if (this.link !== link) return;
    switch (message.kind) {
      case 'owner':
        return this.handleAccepted(message);
      case 'elsewhere':
        return this.handleRedirection(link, message.address, message.entries);
      case 'lease':
        if (message.life !== this.worker?.life || message.term !== this.term) return;
        if (this.isWorkerReplaced) return;
        this.deadlineMs = Math.max(this.deadlineMs ?? 0, message.deadlineMs);
        this.raiseToken(message.token);
        if (message.acknowledged <= this.acknowledged) return;
        this.acknowledged = message.acknowledged;
        this.acknowledgementPause.end();
        return;
      case 'evacuations':
        return this.commands.updateEvacuations(message);
      case 'start':
        return void this.commands.start(message);
      case 'stop':
        return void this.commands.stop(message);
      case 'pace':
        return void this.commands.pace(message);
    }
  }

  /** Uses a higher token from now on; the worker sees it at once, so that no earlier call is executed after it. */
  private raiseToken(token = 0): void {
    if (token <= this.token) return;
    this.token = token;
    this.reports.reset();
    this.startRenewalLoop();
  }

  private handleAccepted({term, token = term, entries, evacuations}: OwnerAcceptance): void {
    this.options.log.log('owner-found', {term});
    if (term < this.term) {
      // A previous owner that has not noticed its replacement; the worker would refuse its commands by their term.
      this.link?.destroy('former-owner');
      return;
    }
    if (evacuations) this.commands.updateEvacuations(evacuations);
    this.isAcceptedByOwner = true;
    this.redirections = 0;
    this.term = term;
    this.token = Math.max(this.token, token);
    this.search.confirmReached();
    this.search.setEntries(entries);
    this.reports.reset();
    this.confirmation.resume();
    if (this.worker) {
      this.sendWorker();
      this.startRenewalLoop();
    }
  }

  private handleRedirection(
    link: OwnerLink,
    address: string | undefined,
    entries: readonly string[],
  ): void {
    this.link = undefined;
    this.isAcceptedByOwner = false;
    link.end();
    this.search.setEntries(entries);
    this.search.start();
    this.redirections += 1;
    if (address !== undefined && this.redirections <= maxRedirections) this.dial(address);
  }

  /** Starts a new renewal loop; the previous one ends once its call in flight returns. */
  private startRenewalLoop(): void {
    if (this.term === 0) return;
    this.renewalGeneration += 1;
    void this.runRenewalLoop(this.renewalGeneration);
  }

  private async runRenewalLoop(generation: number): Promise<void> {
    // The first renewal returns at once, so that the owner gets the lists of a worker without delay.
    let isFirst = true;
    while (this.renewalGeneration === generation && this.worker !== undefined && !this.isStopped) {
      const {worker, term, token, deadlineMs, isIncarnationSure} = this;
      // Another incarnation may answer under the same id. It would take a deadline on the clock of the former one for a far
      // later one, and drop ends of its own that have the numbers of acknowledged ones.
      const lease = isIncarnationSure && deadlineMs !== undefined ? {deadlineMs} : {};
      const reply = await this.options.worker.hold(worker.id, {
        token,
        acknowledged: isIncarnationSure ? this.acknowledged : 0,
        ...lease,
        ...(!isFirst && isIncarnationSure && {waitMs: renewalWaitMs}),
      });
      if (this.renewalGeneration !== generation || this.worker?.life !== worker.life) return;
      if (reply.kind === 'listed' && isFromIncarnation(reply, worker)) {
        isFirst = false;
        this.isIncarnationSure = true;
        this.presence.recordAnswer();
        const report = this.reports.create(worker, {term, token}, reply, this.options.clock.now());
        this.send(report);
        const hasUnstoredEnds = reply.ends.some(end => end[0] > this.acknowledged);
        if (hasUnstoredEnds) await this.acknowledgementPause.wait();
      } else {
        const failure = reply.kind === 'listed' ? this.markWorkerReplaced() : reply;
        if (!(await this.handleRenewalFailure(failure))) return;
      }
    }
  }

  /**
   * Resets the lease deadline and the acknowledged ends after the worker has restarted under the same id: both
   * belong to the previous incarnation.
   */
  private markWorkerReplaced(): {readonly kind: 'other-life'} {
    this.isWorkerReplaced = true;
    this.deadlineMs = undefined;
    this.acknowledged = 0;
    return {kind: 'other-life'};
  }

  /** Handles a failed renewal. Returns whether renewals continue. */
  private async handleRenewalFailure(
    reply: Exclude<LeaseRenewalReply, {kind: 'listed'}>,
  ): Promise<boolean> {
    const {log, metrics} = this.options;
    this.isIncarnationSure = false;
    metrics.count(`holds_${reply.kind}`);
    if (reply.kind === 'fenced') {
      log.warn('worker-fenced', {worker: this.worker?.life, term: this.term});
      this.link?.destroy('fenced');
      return false;
    }
    const {presence} = this;
    const now = this.options.clock.now();
    presence.recordFailure(reply.kind === 'absent', now);
    const endReason = presence.getEndReason(now);
    if (endReason !== undefined) {
      this.dropWorker(endReason);
      return false;
    }
    if (presence.isFirstRefusal) {
      log.log('worker-silent', {
        worker: this.worker?.life,
        reason: reply.kind,
        ...(reply.kind === 'no-answer' && {detail: reply.detail}),
      });
    }
    await delay(presence.isLeaving ? leavingRetryDelayMs : renewalRetryDelayMs);
    return true;
  }
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

import {
  type AgentMessage,
  type Clock,
  type EndRow,
  getWorkerLife,
  type OwnerMessage,
  type RunRow,
  type WorkerDescription,
} from '@chervilbeam/coordination';
import type {Metrics} from '../metrics/index.js';
import type {DecisionLogger} from './decision-logger.js';
import {dialLink, type Link, type LinkDialer} from './link.js';
import {OwnerSearch} from './owner-search.js';
import type {RecordStore} from './record-store.js';
import {WorkerOrders} from './worker-orders.js';
import type {HoldReply, WorkerPort} from './worker-port.js';

/** Longest time in milliseconds that one renewal waits for an end; reports come at least this often. */
const holdWaitMs = 800;
/** Time in milliseconds between two lists of everything that runs. */
const listMs = 500;
/** Time in milliseconds between two attempts of a call that the worker did not answer. */
const workerRetryMs = 250;
/** Refused connections in a row that show that no process listens, and not just a restart of the listener. */
const absentLimit = 3;
/** Time in milliseconds for which an entry that may know the owner may take to answer. */
const askMs = 700;
/** Redirections that are followed at once; entries that disagree on the owner may send an agent in circles. */
const maxRedirections = 2;

/**
 * Time in milliseconds between two renewals while ends wait to be stored; a worker answers at once as long as it
 * lists an end.
 */
export const unstoredPauseMs = 80;

/** Options of `AgentNode`. */
export interface AgentNodeOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly incarnation: number;
  readonly store: RecordStore;
  readonly worker: WorkerPort;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly metrics: Metrics;
  /** Addresses of entries that may be up, tried while the store does not answer. */
  readonly seeds: readonly string[];
  /** Opens links; by default over TCP. */
  readonly dial?: LinkDialer<OwnerMessage, AgentMessage>;
}

type OwnerLink = Link<OwnerMessage, AgentMessage>;

/** An agent: carries the owner's orders to the worker beside it and tells the owner what the worker runs. */
export class AgentNode {
  private readonly search: OwnerSearch;
  private readonly orders: WorkerOrders;
  private link: OwnerLink | undefined;
  private linkAddress = '';
  private dialledAt = 0;
  private redirections = 0;
  private isWelcome = false;
  private term = 0;
  private worker: WorkerDescription | undefined;
  /** Whether another life of the worker answers under its id, of which no heartbeat has come yet. */
  private isReplaced = false;
  private deadlineMs: number | undefined;
  private acknowledged = 0;
  /** Highest end that was sent on the present link. */
  private sentEnd = 0;
  private listedAt = Number.NEGATIVE_INFINITY;
  private isListDue = true;
  private absences = 0;
  private holdGeneration = 0;
  /** Ends a pause that waits for an acknowledgement. */
  private onAcknowledged: (() => void) | undefined;
  private isStopped = false;

  constructor(private readonly options: AgentNodeOptions) {
    this.search = new OwnerSearch({
      ...options,
      onOwner: (address, term) => this.approachOwner(address, term),
      onEntry: address => this.askEntry(address),
    });
    this.orders = new WorkerOrders({
      ...options,
      getState: () => ({
        worker: this.worker,
        isReplaced: this.isReplaced,
        term: this.term,
        acknowledged: this.acknowledged,
      }),
      finish: (order, outcome) => this.send({kind: 'result', order, outcome}),
    });
  }

  /** Starts to look for the owner. */
  start(): void {
    this.search.start();
  }

  /** Closes everything; the worker's runs go on under their lease. */
  stop(): void {
    this.isStopped = true;
    this.search.stop();
    this.holdGeneration += 1;
    this.link?.end();
  }

  /** Takes in what the worker says of itself. */
  describe(worker: WorkerDescription): void {
    const former = this.worker;
    this.worker = worker;
    if (former?.life !== worker.life) {
      this.isReplaced = false;
      this.deadlineMs = undefined;
      this.acknowledged = 0;
      this.sentEnd = 0;
      this.isListDue = true;
      this.absences = 0;
      this.options.log.log('worker-up', {worker: worker.life, former: former?.life});
      this.startHolding();
    } else if (JSON.stringify(former) === JSON.stringify(worker)) return;
    if (worker.state === 'draining' && former?.state !== 'draining') {
      this.options.log.log('worker-draining', {
        worker: worker.life,
        remainingMs: worker.remainingMs,
      });
    }
    this.send({kind: 'worker', worker});
  }

  /** Takes in the worker's farewell. */
  leave(id: string): void {
    if (this.worker?.id !== id) return;
    this.forget('farewell');
  }

  private forget(reason: 'farewell' | 'refused-connection'): void {
    const {worker} = this;
    if (worker === undefined) return;
    this.options.log.log('worker-gone', {worker: worker.life, reason});
    this.send({kind: 'worker-gone', life: worker.life, reason});
    this.worker = undefined;
    this.holdGeneration += 1;
  }

  private send(message: AgentMessage): void {
    if (this.isWelcome) this.link?.send(message);
  }

  /** Dials the owner unless it is reached or being dialled; a newer owner replaces an older one. */
  private approachOwner(address: string, term: number): void {
    if (this.isStopped || (this.isWelcome && term <= this.term)) return;
    if (this.link !== undefined && this.linkAddress === address && !this.isWelcome) return;
    this.replaceLink(address);
  }

  /** Dials an entry that may know the owner; a host without power does not answer, so others are tried. */
  private askEntry(address: string): void {
    if (this.isStopped || this.isWelcome) return;
    const isPending = this.link !== undefined;
    if (isPending && this.options.clock.now() - this.dialledAt < askMs) return;
    this.replaceLink(address);
  }

  private replaceLink(address: string): void {
    const {link} = this;
    this.link = undefined;
    this.isWelcome = false;
    link?.destroy('other-address');
    this.redirections = 0;
    this.dial(address);
  }

  private dial(address: string): void {
    const {name, dataCentre, incarnation, log, clock, dial = dialLink} = this.options;
    const link: OwnerLink = dial(address, {
      message: message => this.receive(link, message),
      closed: reason => {
        if (this.link !== link) return;
        if (this.isWelcome) log.log('owner-lost', {address, reason});
        this.link = undefined;
        this.isWelcome = false;
        if (!this.isStopped) this.search.start();
      },
    });
    this.link = link;
    this.linkAddress = address;
    this.dialledAt = clock.now();
    link.send({kind: 'agent', agent: name, dataCentre, incarnation});
  }

  private receive(link: OwnerLink, message: OwnerMessage): void {
    if (this.link !== link) return;
    switch (message.kind) {
      case 'owner':
        return this.welcome(message.term, message.entries);
      case 'elsewhere':
        return this.redirect(link, message.address, message.entries);
      case 'lease':
        if (message.life !== this.worker?.life || message.term !== this.term) return;
        if (this.isReplaced) return;
        this.deadlineMs = Math.max(this.deadlineMs ?? 0, message.deadlineMs);
        if (message.acknowledged <= this.acknowledged) return;
        this.acknowledged = message.acknowledged;
        this.onAcknowledged?.();
        return;
      case 'start':
        return void this.orders.start(message);
      case 'stop':
        return void this.orders.stop(message);
      case 'pace':
        return void this.orders.pace(message);
    }
  }

  private welcome(term: number, entries: readonly string[]): void {
    this.options.log.log('owner-found', {term});
    if (term < this.term) {
      // A former owner that does not know yet; the worker would refuse its orders.
      this.link?.destroy('former-owner');
      return;
    }
    this.isWelcome = true;
    this.term = term;
    this.search.settle();
    this.search.setEntries(entries);
    this.sentEnd = 0;
    this.isListDue = true;
    if (this.worker) {
      this.send({kind: 'worker', worker: this.worker});
      this.startHolding();
    }
  }

  private redirect(link: OwnerLink, address: string | undefined, entries: readonly string[]): void {
    this.link = undefined;
    this.isWelcome = false;
    link.end();
    this.search.setEntries(entries);
    this.search.start();
    this.redirections += 1;
    if (address !== undefined && this.redirections <= maxRedirections) this.dial(address);
  }

  /** Starts a new series of renewals; the former one ends with its call in flight. */
  private startHolding(): void {
    if (this.term === 0) return;
    this.holdGeneration += 1;
    void this.keepHolding(this.holdGeneration);
  }

  private async keepHolding(generation: number): Promise<void> {
    let isFirst = true;
    while (this.holdGeneration === generation && this.worker !== undefined && !this.isStopped) {
      const {worker, term, deadlineMs} = this;
      const reply = await this.options.worker.hold(worker.id, {
        token: term,
        acknowledged: this.acknowledged,
        ...(deadlineMs !== undefined && {deadlineMs}),
        ...(!isFirst && {waitMs: holdWaitMs}),
      });
      if (this.holdGeneration !== generation || this.worker?.life !== worker.life) return;
      if (reply.kind === 'listed' && isOfLife(reply, worker)) {
        isFirst = false;
        this.takeList(worker, term, reply);
        if (reply.ends.some(end => end[0] > this.acknowledged)) await this.waitForStore();
      } else {
        const failure = reply.kind === 'listed' ? this.noteReplaced() : reply;
        if (!(await this.takeFailure(failure))) return;
      }
    }
  }

  /** Waits until the owner acknowledges ends, at most for a pause. */
  private async waitForStore(): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, unstoredPauseMs);
      this.onAcknowledged = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.onAcknowledged = undefined;
  }

  /** A worker has started again under its id: what was agreed with its former life does not hold for it. */
  private noteReplaced(): {readonly kind: 'other-life'} {
    this.isReplaced = true;
    this.deadlineMs = undefined;
    this.acknowledged = 0;
    return {kind: 'other-life'};
  }

  /** Returns whether renewals go on. */
  private async takeFailure(reply: Exclude<HoldReply, {kind: 'listed'}>): Promise<boolean> {
    const {log, metrics} = this.options;
    metrics.count(`holds_${reply.kind}`);
    if (reply.kind === 'fenced') {
      log.warn('worker-fenced', {worker: this.worker?.life, term: this.term});
      this.link?.destroy('fenced');
      return false;
    }
    this.absences = reply.kind === 'absent' ? this.absences + 1 : 0;
    if (this.absences >= absentLimit) {
      this.forget('refused-connection');
      return false;
    }
    if (this.absences <= 1) {
      log.log('worker-silent', {
        worker: this.worker?.life,
        reason: reply.kind,
        ...(reply.kind === 'no-answer' && {detail: reply.detail}),
      });
    }
    await delay(workerRetryMs);
    return true;
  }

  private takeList(
    worker: WorkerDescription,
    term: number,
    reply: Extract<HoldReply, {kind: 'listed'}>,
  ): void {
    this.absences = 0;
    const now = this.options.clock.now();
    const ends: EndRow[] = [];
    for (const end of reply.ends) if (end[0] > this.sentEnd) ends.push(end);
    for (const end of ends) this.sentEnd = Math.max(this.sentEnd, end[0]);
    const isList = this.isListDue || now - this.listedAt >= listMs;
    if (isList) this.listedAt = now;
    this.isListDue = false;
    const running: {running?: readonly RunRow[]} = isList ? {running: reply.running} : {};
    this.send({
      kind: 'report',
      life: worker.life,
      term,
      clockMs: reply.clockMs,
      ends,
      ...running,
    });
  }
}

/** Whether lists are those of a life of the worker; an older worker does not tell when it started. */
function isOfLife(reply: Extract<HoldReply, {kind: 'listed'}>, worker: WorkerDescription): boolean {
  const {startedAtMs} = reply;
  return startedAtMs === undefined || getWorkerLife(worker.id, startedAtMs) === worker.life;
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

import {
  type AgentMessage,
  type DispatchEffect,
  Dispatcher,
  type DispatchEvent,
  type ElectionEffect,
  type ElectionEvent,
  type EvacuationSet,
  OwnerElection,
  type OwnerRecord,
  type QueueBacklogs,
  type QueueConfiguration,
} from '@chervilbeam/coordination';
import {Loop} from '../../loop/index.js';
import type {SubmissionLookup} from '../links/entry-messages.js';
import {readEvacuations} from '../records/evacuation-source.js';
import {type AgentLink, AgentLinks} from './agent-links.js';
import {DispatchCalls} from './dispatch-calls.js';
import {ElectionCalls} from './election-calls.js';
import {Handover} from './handover/handover.js';
import {LeaseClock} from './lease-clock.js';
import {getOwnerLimits, getStartBytesPerSecond, type OwnerLimits} from './owner-limits.js';
import {OwnershipHistory} from './ownership-history.js';
import {OwnerKeyWatch} from './owner-key-watch.js';
import type {OwnerProcessOptions} from './owner-process-options.js';
import {RoundScheduler} from './round-scheduler.js';
import {StateLoader} from './state-loader.js';
import {WorkWatch} from './work-watch.js';

/** Tick interval in milliseconds of the owner. */
const ownerTickMs = 100;
/** Tick interval in milliseconds of a process that is not the owner. */
const idleTickMs = 250;
/** The same while a claim waits for its delay, which shorter round trips and the list of entries may shorten. */
const claimTickMs = 20;

/**
 * Takes part in the leader election among the entries. The elected entry owns the submissions and runs the
 * dispatcher.
 */
export class OwnerProcess {
  private readonly dispatcher: Dispatcher;
  private readonly loop: Loop<DispatchEvent, DispatchEffect>;
  private readonly election: OwnerElection;
  private readonly electionLoop: Loop<ElectionEvent, ElectionEffect>;
  private readonly leaseClock: LeaseClock;
  private readonly electionCalls: ElectionCalls;
  private readonly ownerWatch: OwnerKeyWatch;
  private readonly calls: DispatchCalls;
  private readonly agents = new AgentLinks();
  private workWatch: WorkWatch | undefined;
  /** Term of the current ownership, set before the stored state is loaded; 0 without ownership. */
  private electionTerm = 0;
  private readonly rounds: RoundScheduler;
  private readonly history: OwnershipHistory;
  private readonly limits: OwnerLimits;
  private readonly loader: StateLoader;
  /** Planned handover of the ownership between this process and others. */
  readonly handover: Handover;
  /** Owner named by the latest owner record, or by an entry that has taken the ownership over. */
  private knownOwner: string | undefined;
  private beginning: Promise<void> | undefined;
  private tickTimer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(private readonly options: OwnerProcessOptions) {
    const {clock, log, timing, electionTiming, incarnation, address} = options;
    const {linkMegabits = Number.POSITIVE_INFINITY, heapBytes = Number.POSITIVE_INFINITY} = options;
    const startBytesPerSecond = getStartBytesPerSecond(linkMegabits);
    this.limits = getOwnerLimits(heapBytes);
    this.loader = new StateLoader({...options, maxBytes: this.limits.maxLoadedBytes});
    this.dispatcher = new Dispatcher({...timing, ...this.limits, startBytesPerSecond});
    this.loop = new Loop(this.dispatcher, clock, effect => this.executeEffect(effect));
    this.election = new OwnerElection({
      incarnation,
      address,
      ...(electionTiming && {timing: electionTiming}),
    });
    this.leaseClock = new LeaseClock(clock, ms => {
      log.log('host-suspended', {ms: Math.round(ms)});
    });
    this.electionLoop = new Loop(this.election, this.leaseClock, effect =>
      this.executeElectionEffect(effect),
    );
    this.electionCalls = new ElectionCalls({
      ...options,
      clock: this.leaseClock,
      post: event => {
        this.electionLoop.post(event);
        // The lease of a process that has just started comes after the key has been seen vacant.
        if (this.claimWaitMs !== undefined) this.scheduleTick();
      },
    });
    this.handover = new Handover({
      ...options,
      loader: this.loader,
      getElection: () => ({
        isOwner: this.electionTerm > 0,
        hasLease: this.election.currentLease !== undefined,
        roundTripMs: this.electionCalls.roundTripMs,
      }),
      getLearned: () => this.dispatcher.getLearned(clock.now()),
      claim: revision => {
        this.electionLoop.post({kind: 'take-over', revision});
        this.scheduleTick();
      },
    });
    this.calls = new DispatchCalls({
      ...options,
      getTerm: () => this.dispatcher.term,
      isCurrent: term => this.electionTerm === term,
      post: event => this.post(event),
    });
    this.history = new OwnershipHistory({...options, electionCalls: this.electionCalls});
    this.rounds = new RoundScheduler({
      clock,
      settle: () => this.loop.post({kind: 'settle'}),
      isRoundDue: scope => this.dispatcher.isPlacementDue(scope),
      runRound: scope => {
        if (this.checkOwnership()) this.loop.post({kind: 'place', scope});
      },
    });
    this.ownerWatch = new OwnerKeyWatch({
      ...options,
      onOwner: (owner, revision) => this.observeOwner(owner, revision),
    });
  }

  /** Whether this process is the owner and has loaded the stored submissions. */
  get isOwner(): boolean {
    return this.dispatcher.isOwner;
  }

  /** Resolves when an ownership that has been claimed has begun or has ended; undefined when none is about to begin. */
  get begun(): Promise<void> | undefined {
    return this.beginning;
  }

  /** Starts to take part in the election. */
  start(): void {
    this.ownerWatch.run();
    this.tick();
  }

  /**
   * Stops taking part in the election. An ownership is offered to another entry for at most `limitMs` milliseconds, in which
   * it goes on, and is then given up.
   */
  async drain(limitMs = 0): Promise<void> {
    this.handover.refuse();
    const term = this.electionTerm;
    if (term === 0 || limitMs === 0) return this.stop();
    this.electionLoop.post({kind: 'retire'});
    const successor = await this.handover.offer(term, limitMs, () => this.electionTerm === term);
    if (successor !== undefined && this.electionTerm === term) {
      this.knownOwner = successor;
      this.electionLoop.post({kind: 'deposed', reason: 'handed-over'});
    }
    this.stop();
    if (successor !== undefined) await this.ownerWatch.refresh();
  }

  /** Gives up the ownership at once and stops taking part in the election. */
  stop(): void {
    this.handover.refuse();
    this.electionLoop.post({kind: 'drain'});
    this.isStopped = true;
    clearTimeout(this.tickTimer);
    this.ownerWatch.stop();
  }

  /** Passes a new configuration to the dispatcher. */
  configure(configuration: QueueConfiguration): void {
    this.post({kind: 'configuration', configuration});
  }

  /** Passes on evacuated data centres, of which this process has learned from any source. */
  updateEvacuations({revision, dataCentres}: EvacuationSet): void {
    this.post({kind: 'evacuations', set: {revision, dataCentres}});
  }

  /**
   * Registers the link of an agent, replacing an older one, and sends it the term and the addresses of other entries.
   * Returns false when this process is not the owner.
   */
  addAgent(agent: string, link: AgentLink, entries: readonly string[]): boolean {
    if (!this.checkOwnership()) return false;
    this.agents.add(agent, link);
    const {term, token, evacuations} = this.dispatcher;
    link.send({
      kind: 'owner',
      term,
      token,
      entries,
      ...(evacuations.revision > 0 && {evacuations}),
    });
    this.post({kind: 'agent-up', agent});
    return true;
  }

  /** Handles a message of an agent; messages on a replaced link are ignored. */
  receive(agent: string, link: AgentLink, message: AgentMessage): void {
    if (this.agents.isCurrent(agent, link)) this.post({kind: 'message', agent, message});
  }

  /** Removes an agent whose link has closed; ignored when a newer link has replaced it. */
  removeAgent(agent: string, link: AgentLink): void {
    if (this.agents.remove(agent, link)) this.post({kind: 'agent-down', agent});
  }

  /** Handles a cancel request that the store already holds; returns false without ownership, when it is ignored. */
  cancel(id: string): boolean {
    if (!this.checkOwnership()) return false;
    this.options.log.log('cancel-received', {submission: id, from: 'entry'});
    this.post({kind: 'cancelled', id});
    return this.isOwner;
  }

  /** Looks up the state of a submission. */
  lookUp(id: string): SubmissionLookup {
    if (!this.checkOwnership()) return {isOwner: false};
    const status = this.dispatcher.lookUp(id, this.options.clock.now());
    const queue = this.dispatcher.getQueueOf(id);
    return {isOwner: true, ...(status && {status}), ...(queue !== undefined && {queue})};
  }

  /**
   * Returns how long ago in milliseconds an ownership of this process, or of an earlier one at its address, ended at least;
   * undefined while it lasts.
   */
  getOwnershipEndAge({nonce}: Pick<OwnerRecord, 'nonce'>): number | undefined {
    this.electionLoop.post({kind: 'look'});
    return this.history.getEndAge(nonce, this.electionTerm > 0);
  }

  /** Returns the number of pending submissions of a queue, or undefined when this process is not the owner. */
  countPending(queue: string): number | undefined {
    return this.checkOwnership() ? this.dispatcher.countPending(queue) : undefined;
  }

  /** Returns the backlogs of all queues, or undefined without ownership. */
  getQueueBacklogs(): QueueBacklogs | undefined {
    if (!this.checkOwnership()) return undefined;
    return this.dispatcher.getQueueBacklogs(this.options.clock.now());
  }

  /**
   * Whether this process is still the owner. The host may have been suspended, so the lease is checked again before each
   * decision of the dispatcher and each answer that only the owner can give.
   */
  private checkOwnership(): boolean {
    if (this.isOwner) this.electionLoop.post({kind: 'look'});
    return this.isOwner;
  }

  private post(event: DispatchEvent): void {
    this.checkOwnership();
    this.loop.post(event);
    if (this.isOwner) this.rounds.schedule();
  }

  private tick(): void {
    if (this.isStopped) return;
    if (this.claimWaitMs !== undefined) this.electionCalls.updateClaimDelay();
    this.electionLoop.post({kind: 'tick'});
    if (this.isOwner) {
      this.loop.post({kind: 'tick', wallMs: this.options.clock.wallTime()});
      this.rounds.schedule();
    }
    this.scheduleTick();
  }

  private get claimWaitMs(): number | undefined {
    return this.election.getClaimWaitMs(this.leaseClock.now());
  }

  private scheduleTick(): void {
    clearTimeout(this.tickTimer);
    if (this.isStopped) return;
    const {claimWaitMs} = this;
    // A claim with a wait of 0 is delayed by another call.
    const claimMs = Math.min(claimWaitMs || claimTickMs, claimTickMs);
    const idleMs = claimWaitMs === undefined ? idleTickMs : claimMs;
    // As for delayed rounds, messages that have arrived in a pause of the process come first.
    const tick = () => setImmediate(() => this.tick());
    this.tickTimer = setTimeout(tick, this.isOwner ? ownerTickMs : idleMs);
  }

  private executeEffect(effect: DispatchEffect): void {
    const {log, metrics} = this.options;
    switch (effect.kind) {
      case 'send':
        return this.agents.send(effect.agent, effect.message);
      case 'broadcast':
        return this.agents.broadcast(effect.message);
      case 'write':
        return void this.calls.writeProgress(effect.sequence, effect.write);
      case 'recovered':
        return void this.history.forgetPredecessors(this.dispatcher.term);
      case 'load':
        return void this.calls.load(effect.id);
      case 'advise':
        return void this.calls.advise(effect);
      case 'deposed':
        return this.electionLoop.post({kind: 'deposed', reason: effect.reason});
      case 'log':
        return log.logDecision(effect.decision);
      case 'count':
        return metrics.count(effect.name, effect.by);
      case 'observe':
        return metrics.observe(effect.name, effect.valueMs);
    }
  }

  private executeElectionEffect(effect: ElectionEffect): void {
    switch (effect.kind) {
      case 'open-lease':
        return void this.electionCalls.openLease(effect.ttlMs);
      case 'keep-lease':
        return void this.electionCalls.renewLease(effect.lease);
      case 'claim':
        // Only few processes claim a vacant key, so the state is not read by all of them at once.
        void this.loader.prepare();
        return void this.electionCalls.claim(effect);
      case 'end-lease':
        return void this.options.store.endLease(effect.lease);
      case 'begin':
        return this.startOwnership(effect.term, effect.generation);
      case 'end':
        return this.end(effect.reason);
    }
  }

  private observeOwner(owner: OwnerRecord | undefined, revision: number): void {
    if (owner === undefined) this.electionCalls.updateClaimDelay();
    this.knownOwner = owner?.address;
    this.options.onOwner(owner);
    this.handover.observe(owner, revision);
    this.electionLoop.post({kind: 'owner-seen', owner, revision});
    if (this.claimWaitMs !== undefined) this.scheduleTick();
  }

  private startOwnership(term: number, generation: number): void {
    const beginning = this.beginOwnership(term, generation).finally(() => {
      if (this.beginning === beginning) this.beginning = undefined;
    });
    this.beginning = beginning;
  }

  private async beginOwnership(term: number, generation: number): Promise<void> {
    const {log, clock, evacuations} = this.options;
    this.electionTerm = term;
    log.log('ownership-claimed', {term, generation});
    this.handover.confirm();
    const shouldContinue = () => this.electionTerm === term;
    const [stored, evacuated] = await Promise.all([
      this.loader.load(term, shouldContinue),
      evacuations && readEvacuations(evacuations, shouldContinue),
    ]);
    this.electionLoop.post({kind: 'look'});
    if (stored === undefined || this.electionTerm !== term) return;
    if (evacuated) this.loop.post({kind: 'evacuations', set: evacuated});
    this.loop.post({
      kind: 'begin',
      term,
      generation,
      submissions: stored.submissions,
      deferred: stored.deferred,
      roster: stored.roster,
      ...this.handover.receivedState,
      wallMs: clock.wallTime(),
    });
    void this.limitRecovery(term);
    this.workWatch = new WorkWatch({
      ...this.options,
      post: event => this.post(event),
      onOwnerRecord: record => this.ownerWatch.handle(record, record.revision),
    });
    this.workWatch.run(stored.revision);
    this.options.onOwnership(true);
  }

  private async limitRecovery(term: number): Promise<void> {
    const isRecovering = () => this.electionTerm === term && this.dispatcher.isRecovering;
    const agoMs = await this.history.findPredecessorsEnd(isRecovering);
    if (agoMs !== undefined) this.post({kind: 'predecessors-ended', agoMs});
  }

  private end(reason: string): void {
    if (this.electionTerm > 0) this.history.recordEnd();
    this.electionTerm = 0;
    this.workWatch?.stop();
    this.workWatch = undefined;
    if (!this.isOwner) return;
    this.loop.post({kind: 'end', reason});
    const {knownOwner: address} = this;
    this.agents.redirect(address === this.options.address ? undefined : address);
    this.options.onOwnership(false);
  }
}

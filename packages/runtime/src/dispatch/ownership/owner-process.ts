import {
  type AgentMessage,
  type DispatchEffect,
  Dispatcher,
  type DispatchEvent,
  type ElectionEffect,
  type ElectionEvent,
  type EvacuationSet,
  OwnerElection,
  type OwnerMessage,
  type OwnerRecord,
  type ProgressWrite,
  type QueueBacklogs,
  type QueueConfiguration,
} from '@chervilbeam/coordination';
import {Loop} from '../../loop/index.js';
import type {SubmissionLookup} from '../links/entry-messages.js';
import type {Link} from '../links/link.js';
import {ProgressWriter} from '../records/progress-writer.js';
import {parseOwner} from '../records/record-parsers.js';
import type {RecordChange, StoredRecord} from '../records/record-store.js';
import {RecordWatch} from '../records/record-watch.js';
import {ownerKey} from '../records/store-keys.js';
import {readStoredState, readSubmission, toWriteResult} from '../records/stored-state.js';
import {ElectionCalls} from './election-calls.js';
import {LeaseClock} from './lease-clock.js';
import {getOwnerLimits, type OwnerLimits} from './owner-limits.js';
import type {OwnerProcessOptions} from './owner-process-options.js';
import {OwnershipHistory} from './ownership-history.js';
import {RoundScheduler} from './round-scheduler.js';
import {WorkWatch} from './work-watch.js';

/** Tick interval in milliseconds of the owner. */
const ownerTickMs = 100;
/** Tick interval in milliseconds of a process that is not the owner. */
const idleTickMs = 250;

const bytesPerMegabit = 125_000;
/**
 * Share of the host's link that start commands may use. The rest carries leases, stops, store calls and the calls of
 * callers, which must not wait behind starts.
 */
const startLinkShare = 0.4;

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
  private readonly ownerWatch: RecordWatch;
  private readonly progressWriter: ProgressWriter;
  private readonly agents = new Map<string, Link<AgentMessage, OwnerMessage>>();
  private workWatch: WorkWatch | undefined;
  /** Term of the current ownership, set before the stored state is loaded; 0 without ownership. */
  private electionTerm = 0;
  private readonly rounds: RoundScheduler;
  private readonly history: OwnershipHistory;
  private readonly limits: OwnerLimits;
  private tickTimer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(private readonly options: OwnerProcessOptions) {
    const {clock, store, log, timing, electionTiming, incarnation, address} = options;
    const {linkMegabits = Number.POSITIVE_INFINITY, heapBytes = Number.POSITIVE_INFINITY} = options;
    const startBytesPerSecond = linkMegabits * bytesPerMegabit * startLinkShare;
    this.limits = getOwnerLimits(heapBytes);
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
      post: event => this.electionLoop.post(event),
    });
    this.progressWriter = new ProgressWriter(store);
    this.history = new OwnershipHistory({...options, electionCalls: this.electionCalls});
    this.rounds = new RoundScheduler({
      clock,
      settle: () => this.loop.post({kind: 'settle'}),
      isRoundDue: () => this.dispatcher.isPlacementDue,
      runRound: () => {
        if (this.checkOwnership()) this.loop.post({kind: 'place'});
      },
    });
    this.ownerWatch = new RecordWatch({
      store,
      clock,
      log,
      prefix: ownerKey,
      onList: (records, revision) => this.handleOwnerRecord(records[0], revision),
      onChanges: changes => this.handleOwnerChange(changes.at(-1)),
    });
  }

  /** Whether this process is the owner and has loaded the stored submissions. */
  get isOwner(): boolean {
    return this.dispatcher.isOwner;
  }

  /** Starts to take part in the election. */
  start(): void {
    void this.ownerWatch.run();
    this.tick();
  }

  /** Gives up the ownership and stops taking part in the election. */
  drain(): void {
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
  addAgent(
    agent: string,
    link: Link<AgentMessage, OwnerMessage>,
    entries: readonly string[],
  ): boolean {
    if (!this.checkOwnership()) return false;
    const previousLink = this.agents.get(agent);
    this.agents.set(agent, link);
    previousLink?.destroy('replaced');
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
  receive(agent: string, link: Link<AgentMessage, OwnerMessage>, message: AgentMessage): void {
    if (this.agents.get(agent) === link) this.post({kind: 'message', agent, message});
  }

  /** Removes an agent whose link has closed; ignored when a newer link has replaced it. */
  removeAgent(agent: string, link: Link<AgentMessage, OwnerMessage>): void {
    if (this.agents.get(agent) !== link) return;
    this.agents.delete(agent);
    this.post({kind: 'agent-down', agent});
  }

  /** Handles a cancel request that the store already holds; ignored without ownership. */
  cancel(id: string): void {
    if (this.isOwner) this.post({kind: 'cancelled', id});
  }

  /** Looks up the state of a submission. */
  lookUp(id: string): SubmissionLookup {
    if (!this.checkOwnership()) return {isOwner: false};
    const status = this.dispatcher.getStatus(id);
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
    this.electionLoop.post({kind: 'tick'});
    if (this.isOwner) {
      this.loop.post({kind: 'tick', wallMs: this.options.clock.wallTime()});
      this.rounds.schedule();
    }
    // As for delayed rounds, messages that have arrived in a pause of the process come first.
    const tickMs = this.isOwner ? ownerTickMs : idleTickMs;
    this.tickTimer = setTimeout(() => setImmediate(() => this.tick()), tickMs);
  }

  private executeEffect(effect: DispatchEffect): void {
    const {log, metrics} = this.options;
    switch (effect.kind) {
      case 'send':
        return this.agents.get(effect.agent)?.send(effect.message);
      case 'broadcast':
        return this.agents.forEach(link => link.send(effect.message));
      case 'write':
        return void this.writeProgress(effect.sequence, effect.write);
      case 'recovered':
        return void this.history.forgetPredecessors(this.dispatcher.term);
      case 'load':
        return void this.load(effect.id);
      case 'advise':
        return void this.advise(effect);
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

  private async load(id: string): Promise<void> {
    const {store, log} = this.options;
    const {term} = this.dispatcher;
    const shouldContinue = () => this.electionTerm === term;
    const stored = await readSubmission(id, {store, log, shouldContinue});
    if (shouldContinue()) this.post({kind: 'loaded', id, ...(stored && {stored})});
  }

  private async advise({
    step,
    workers,
    timeoutMs,
  }: Extract<DispatchEffect, {kind: 'advise'}>): Promise<void> {
    const {advisor} = this.options;
    const reply = advisor
      ? await advisor.advise(step, workers, timeoutMs)
      : ({kind: 'unavailable', reason: 'no-advisor'} as const);
    this.post({kind: 'advised', step, reply});
  }

  private async writeProgress(sequence: number, write: ProgressWrite): Promise<void> {
    const result = await this.progressWriter.write(this.dispatcher.term, sequence, write);
    this.post({
      kind: 'written',
      sequence,
      result: toWriteResult(result),
      ...(result.kind === 'ok' && {revision: result.revision}),
    });
  }

  private executeElectionEffect(effect: ElectionEffect): void {
    switch (effect.kind) {
      case 'open-lease':
        return void this.electionCalls.openLease(effect.ttlMs);
      case 'keep-lease':
        return void this.electionCalls.renewLease(effect.lease);
      case 'claim':
        return void this.electionCalls.claim(effect);
      case 'end-lease':
        return void this.options.store.endLease(effect.lease);
      case 'begin':
        return void this.beginOwnership(effect.term, effect.generation);
      case 'end':
        return this.end(effect.reason);
    }
  }

  private handleOwnerRecord(record: StoredRecord | undefined, revision: number): void {
    const owner = record && parseOwner(record.value);
    if (owner === undefined) this.electionCalls.updateClaimDelay();
    this.options.onOwner(owner);
    this.electionLoop.post({kind: 'owner-seen', owner, revision: record?.revision ?? revision});
  }

  private handleOwnerChange(change: RecordChange | undefined): void {
    if (change?.kind === 'written') this.handleOwnerRecord(change.record, change.record.revision);
    else if (change) this.handleOwnerRecord(undefined, change.revision);
  }

  private async beginOwnership(term: number, generation: number): Promise<void> {
    const {store, log, clock, evacuations} = this.options;
    this.electionTerm = term;
    log.log('ownership-claimed', {term, generation});
    const startedAt = clock.now();
    const shouldContinue = () => this.electionTerm === term;
    const maxBytes = this.limits.maxLoadedBytes;
    const stored = await readStoredState({store, log, maxBytes, shouldContinue, evacuations});
    this.electionLoop.post({kind: 'look'});
    if (stored === undefined || this.electionTerm !== term) return;
    log.log('submissions-read', {
      term,
      submissions: stored.submissions.length,
      deferred: stored.deferred.length,
      ageMs: Math.round(clock.now() - startedAt),
    });
    if (stored.evacuations) this.loop.post({kind: 'evacuations', set: stored.evacuations});
    this.loop.post({
      kind: 'begin',
      term,
      generation,
      submissions: stored.submissions,
      deferred: stored.deferred,
      roster: stored.roster,
      wallMs: clock.wallTime(),
    });
    void this.limitRecovery(term);
    this.workWatch = new WorkWatch({
      store,
      clock,
      log,
      post: event => this.post(event),
      onOwnerRecord: record => this.handleOwnerRecord(record, record.revision),
    });
    this.workWatch.run(stored.revision);
    this.options.onOwnership(true);
  }

  private async limitRecovery(term: number): Promise<void> {
    const agoMs = await this.history.findPredecessorsEnd(
      () => this.electionTerm === term && this.dispatcher.isRecovering,
    );
    if (agoMs !== undefined) this.post({kind: 'predecessors-ended', agoMs});
  }

  private end(reason: string): void {
    if (this.electionTerm > 0) this.history.recordEnd();
    this.electionTerm = 0;
    this.workWatch?.stop();
    this.workWatch = undefined;
    if (!this.isOwner) return;
    this.loop.post({kind: 'end', reason});
    for (const link of this.agents.values()) {
      link.send({kind: 'elsewhere', entries: []});
      link.end();
    }
    this.agents.clear();
    this.options.onOwnership(false);
  }
}

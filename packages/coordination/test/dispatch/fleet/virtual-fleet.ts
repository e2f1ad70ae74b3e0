import {
  type CommandOutcome,
  Dispatcher,
  type DispatchEffect,
  type DispatchEvent,
  type DispatchTiming,
  type FormerWorker,
  type LoggedDecision,
  type OwnerMessage,
  type ProgressWrite,
  type RosterEntry,
  SubmissionLoad,
  type StoredSubmission,
} from '../../../src/dispatch/index.js';
import {SeededRandom} from '../../../src/routing/seeded-random.js';
import {type ProgressRecord, type Queue, type Submission} from '../../../src/submissions/index.js';
import {createConfiguration} from './queues.js';
import type {Silence, VirtualFleetOptions} from './virtual-fleet-options.js';
import {VirtualAdvisor} from './virtual-advisor.js';
import {type TaskBehaviour, VirtualWorker, type SimulatedWorld} from './virtual-worker.js';

export {createConfiguration, createQueue} from './queues.js';
export {type Silence, type VirtualFleetOptions} from './virtual-fleet-options.js';

/** Times in milliseconds between simulation steps, reports of a worker, and ticks of the dispatcher. */
const stepMs = 25;
const reportIntervalMs = 500;
const tickIntervalMs = 100;
/** Delay in milliseconds of a message between dispatcher and worker, and of a write to the store. */
const deliveryDelayMs = 5;

interface ScheduledAction {
  readonly at: number;
  readonly action: () => void;
}

/** Simulates a dispatcher, its workers and the store in virtual time, without a network. */
export class VirtualFleet {
  now = 0;
  dispatcher = new Dispatcher();
  readonly workers = new Map<string, VirtualWorker>();
  readonly decisions: Array<LoggedDecision & {readonly at: number}> = [];
  readonly submissions = new Map<string, Submission>();
  /** Stored progress by submission. */
  readonly progress = new Map<string, ProgressRecord>();
  readonly cancelled = new Set<string>();
  /** Start commands that unresponsive workers have ignored; a test may execute them later. */
  readonly undelivered: Array<{
    readonly agent: string;
    readonly order: Extract<OwnerMessage, {kind: 'start'}>;
    readonly token: number;
  }> = [];
  /** Agents whose links are silent; messages to them arrive when the entry is removed. */
  readonly silences = new Map<string, Silence>();
  /** Time until which the owner's process is paused; events wait until then. */
  ownerPausedUntil = 0;
  /** Whether writes to the store have no effect and no reply. */
  isStoreSilent = false;
  /** Number of ends that a worker lists at once. */
  maxListedEnds = Number.POSITIVE_INFINITY;
  /** Time in milliseconds by which the owner's wall clock is ahead. */
  wallClockOffsetMs = 0;
  /** Timing and limits of the next owner. */
  timing: Partial<DispatchTiming>;
  roster: readonly RosterEntry[] = [];
  /** Queues of the present configuration. */
  queues: readonly Queue[];
  private readonly heldEvents: DispatchEvent[] = [];
  /** Time at which each final state was stored. */
  readonly endedAt = new Map<string, number>();
  /** Called after each simulation step. */
  onStep: () => void = () => {};
  readonly random: SeededRandom;
  /** Decides which workers may run the steps of queues with advice. */
  readonly advisor = new VirtualAdvisor();
  private readonly world: SimulatedWorld;
  private generation = 0;
  /** Revision of the store; each write increases it. */
  private revision = 0;
  /** Term of the present owner. */
  private term = 0;
  /** Fencing tokens of the agents, which know the highest that the owner has stated. */
  private readonly tokens = new Map<string, number>();
  private readonly behaviours = new Map<string, TaskBehaviour>();
  private scheduledActions: ScheduledAction[] = [];

  constructor(readonly options: VirtualFleetOptions) {
    this.random = new SeededRandom(options.seed);
    this.queues = options.queues;
    this.timing = options.timing ?? {};
    const world: SimulatedWorld = {
      random: this.random,
      getBehaviour: task => this.getBehaviour(task),
      getLoad: (task, at) => options.getLoad?.(this.getSubmission(task), at, task) ?? 0.3,
      getPressure: options.getPressure ?? (() => 0),
    };
    this.world = world;
    for (const worker of options.workers) {
      this.workers.set(worker.agent, new VirtualWorker(worker, world));
    }
    this.startOwner();
  }

  /** Starts a new owner, which recovers from the stored state and the lists of the workers. */
  startOwner(): void {
    const {timing} = this;
    this.dispatcher = new Dispatcher(timing);
    this.generation += 1;
    this.revision += 10;
    this.term = this.revision;
    this.post({kind: 'configuration', configuration: createConfiguration(this.queues)});
    const load = new SubmissionLoad(timing.maxLoadedBytes ?? Number.POSITIVE_INFINITY);
    for (const submission of this.submissions.values()) load.add(submission);
    this.post({
      kind: 'begin',
      term: this.term,
      generation: this.generation,
      submissions: load.submissions.map(submission => this.readSubmission(submission)),
      deferred: load.deferred.map(deferred => ({
        ...deferred,
        hasStarted: this.progress.has(deferred.submission.id),
        cancelled: this.cancelled.has(deferred.submission.id),
      })),
      roster: this.roster,
      wallMs: this.now + this.wallClockOffsetMs,
    });
    for (const worker of this.workers.values()) this.connect(worker);
  }

  private readSubmission(submission: Submission): StoredSubmission {
    const progress = this.progress.get(submission.id);
    const cancelled = this.cancelled.has(submission.id);
    return {submission, cancelled, ...(progress && {progress})};
  }

  /** Puts a configuration with the given queues into force, also for later owners. */
  configure(queues: readonly Queue[]): void {
    this.queues = queues;
    this.post({kind: 'configuration', configuration: createConfiguration(queues)});
  }

  /** Connects the agent of a worker, which describes the worker and the one before it, and then lists its runs. */
  connect(worker: VirtualWorker, former?: FormerWorker): void {
    const {agent} = worker.options;
    this.post({kind: 'agent-up', agent});
    worker.evacuations.update(this.dispatcher.evacuations);
    this.post({
      kind: 'message',
      agent,
      message: {kind: 'worker', worker: worker.describe(), ...(former && {former})},
    });
    // The first list is a separate message, so the dispatcher can make decisions before it arrives.
    this.settle();
    worker.lastReportedEnd = 0;
    this.report(worker);
  }

  /**
   * Replaces a worker with a new incarnation; `prepare` acts on it before its agent reports it. The agent tells that the previous
   * one has not answered for `silentMs` milliseconds.
   */
  replace(
    agent: string,
    life: string,
    prepare: (worker: VirtualWorker) => void = () => {},
    silentMs?: number,
  ): VirtualWorker {
    const previous = this.workers.get(agent);
    if (previous === undefined) throw new RangeError(`no worker of ${agent}`);
    const worker = new VirtualWorker({...previous.options, life}, this.world);
    this.workers.set(agent, worker);
    prepare(worker);
    const former = {life: previous.options.life, ...(silentMs !== undefined && {silentMs})};
    this.connect(worker, former);
    return worker;
  }

  /** Submits a submission as the store would announce it. */
  submit(submission: Submission): void {
    this.submissions.set(submission.id, submission);
    this.post({kind: 'submitted', submission});
  }

  /** Runs the simulation until a virtual time in milliseconds. */
  run(until: number): void {
    while (this.now < until) {
      this.now += stepMs;
      if (this.now >= this.ownerPausedUntil && this.heldEvents.length > 0) this.resumeOwner();
      for (const {action} of this.takeDueActions()) action();
      for (const worker of this.workers.values()) {
        const hasEndedRuns = worker.advance(this.now, stepMs);
        // Spreads the reports of different workers over the interval.
        const phase = worker.options.agent.length * 37 + worker.options.agent.charCodeAt(1) * 25;
        if (hasEndedRuns || (this.now + phase) % reportIntervalMs < stepMs) this.report(worker);
      }
      if (this.now % tickIntervalMs === 0)
        this.post({kind: 'tick', wallMs: this.now + this.wallClockOffsetMs});
      this.settle();
      this.onStep();
    }
  }

  /** Returns the number of workers on which a task runs. */
  countRuns(task: string): number {
    return [...this.workers.values()].filter(worker => worker.runs.has(task)).length;
  }

  /** Lets the dispatcher place tasks and store progress, as its process does after events. */
  private settle(): void {
    this.post({kind: 'place'});
    this.post({kind: 'settle'});
  }

  /** Passes the held events on; timers of a process that was paused run before it reads its connections. */
  private resumeOwner(): void {
    this.post({kind: 'tick', wallMs: this.now + this.wallClockOffsetMs});
    this.settle();
    for (const event of this.heldEvents.splice(0)) this.post(event);
  }

  /** Passes an event to the dispatcher and applies its effects. */
  post(event: DispatchEvent): void {
    if (this.now < this.ownerPausedUntil) {
      if (event.kind !== 'tick') this.heldEvents.push(event);
      return;
    }
    for (const effect of this.dispatcher.reduce(event, this.now)) this.applyEffect(effect);
  }

  private report(worker: VirtualWorker): void {
    const {agent, life} = worker.options;
    const silence = this.silences.get(agent);
    if (silence !== undefined && silence !== 'to-agent') return;
    const token = this.getToken(agent);
    worker.fencingToken = Math.max(worker.fencingToken, token);
    const {lastReportedEnd} = worker;
    worker.lastReportedEnd = Math.max(
      lastReportedEnd,
      ...worker.ends.slice(0, this.maxListedEnds).map(([end]) => end),
    );
    this.post({
      kind: 'message',
      agent,
      message: {
        kind: 'report',
        life,
        term: this.term,
        token,
        clockMs: this.now,
        running: worker.list(),
        ends: worker.ends.slice(0, this.maxListedEnds).filter(([end]) => end > lastReportedEnd),
        ...(worker.ends.length > this.maxListedEnds && {hasMoreEnds: true}),
      },
    });
  }

  private applyEffect(effect: DispatchEffect): void {
    if (effect.kind === 'log') this.decisions.push({...effect.decision, at: this.now});
    else if (effect.kind === 'write')
      this.schedule(() => this.write(effect.sequence, effect.write));
    else if (effect.kind === 'send')
      this.schedule(() => this.deliver(effect.agent, effect.message));
    else if (effect.kind === 'broadcast')
      for (const agent of this.workers.keys())
        this.schedule(() => this.deliver(agent, effect.message));
    else if (effect.kind === 'advise') this.advise(effect);
    else if (effect.kind === 'load') this.schedule(() => this.load(effect.id));
  }

  private load(id: string): void {
    const submission = this.submissions.get(id);
    const stored = submission && this.readSubmission(submission);
    this.post({kind: 'loaded', id, ...(stored && {stored})});
  }

  private advise({step, workers}: Extract<DispatchEffect, {kind: 'advise'}>): void {
    const answer = this.advisor.answer(step, workers, this.now);
    if (answer === undefined) return;
    const {reply, durationMs} = answer;
    this.schedule(() => this.post({kind: 'advised', step, reply}), durationMs);
  }

  private deliver(agent: string, message: OwnerMessage): void {
    const worker = this.workers.get(agent);
    if (worker === undefined) return;
    const silence = this.silences.get(agent);
    if (silence !== undefined && silence !== 'from-agent') {
      this.schedule(() => this.deliver(agent, message));
      return;
    }
    if (message.kind === 'evacuations') worker.evacuations.update(message);
    else if (message.kind === 'lease') {
      this.raiseToken(worker, message.token ?? 0);
      worker.extendLease(message.deadlineMs);
      if (worker.hasLostAcknowledgements) return;
      const index = worker.ends.findIndex(end => end[0] > message.acknowledged);
      worker.ends.splice(0, index < 0 ? worker.ends.length : index);
    } else if (message.kind === 'start') {
      if (worker.isUnresponsive) {
        this.undelivered.push({agent, order: message, token: this.getToken(agent)});
        return;
      }
      const hasTicket = this.advisor.isValid(message, worker.options.life, this.now);
      const reason =
        this.needsTicket(message.task) && !hasTicket
          ? 'ticket'
          : worker.start(message, this.now, this.getToken(agent));
      const outcome = reason ? ({kind: 'refused', reason} as const) : ({kind: 'accepted'} as const);
      this.schedule(() => this.result(agent, message, outcome));
    } else if (message.kind === 'stop') {
      const listed = worker.stop(message.task, message.run);
      this.schedule(() => this.result(agent, message, {kind: 'stopped', listed}));
    } else if (message.kind === 'pace') {
      worker.pace(message.task, message.run, message.percent);
    }
  }

  private result(
    agent: string,
    command: Extract<OwnerMessage, {kind: 'start' | 'stop'}>,
    outcome: CommandOutcome,
  ): void {
    const silence = this.silences.get(agent);
    if (silence !== undefined && silence !== 'to-agent') {
      this.schedule(() => this.result(agent, command, outcome));
      return;
    }
    const {order, term} = command;
    this.post({kind: 'message', agent, message: {kind: 'result', order, term, outcome}});
  }

  private write(sequence: number, write: ProgressWrite): void {
    if (this.isStoreSilent) return;
    for (const {id, record, finished} of write.progress) {
      if (finished) this.submissions.set(id, finished);
      this.progress.set(id, record);
      if (record.final !== undefined && !this.endedAt.has(id)) this.endedAt.set(id, this.now);
    }
    if (write.roster) this.roster = write.roster;
    this.revision += 1;
    this.post({kind: 'written', sequence, result: 'ok', revision: this.revision});
  }

  private getToken(agent: string): number {
    return Math.max(this.term, this.tokens.get(agent) ?? 0);
  }

  /** Lets an agent use a higher token; its worker sees it with the next list, which the agent requests at once. */
  private raiseToken(worker: VirtualWorker, token: number): void {
    const {agent} = worker.options;
    if (token <= this.getToken(agent)) return;
    this.tokens.set(agent, token);
    this.schedule(() => this.report(worker));
  }

  private needsTicket(task: string): boolean {
    const {queue} = this.getSubmission(task);
    return this.options.queues.some(({key, advice}) => key === queue && advice !== undefined);
  }

  private schedule(action: () => void, delayMs = deliveryDelayMs): void {
    this.scheduledActions.push({at: this.now + delayMs, action});
  }

  private takeDueActions(): ScheduledAction[] {
    const due = this.scheduledActions.filter(action => action.at <= this.now);
    this.scheduledActions = this.scheduledActions.filter(action => action.at > this.now);
    return due;
  }

  private getSubmission(task: string): Submission {
    const submission = this.submissions.get(task.slice(0, task.indexOf('.')));
    if (submission === undefined) throw new RangeError(`no submission of ${task}`);
    return submission;
  }

  private getBehaviour(task: string): TaskBehaviour {
    const existing = this.behaviours.get(task);
    if (existing) return existing;
    const submission = this.getSubmission(task);
    const step = submission.steps[Number(task.split('.')[2])];
    if (step === undefined) throw new RangeError(`no step of ${task}`);
    const behaviour = {
      step,
      durationMs: step.estimatedMs,
      faultyRuns: 0,
      ...this.options.getBehaviour?.(task, submission),
    };
    this.behaviours.set(task, behaviour);
    return behaviour;
  }
}

import {
  type Clock,
  type CommandOutcome,
  type EvacuationSet,
  EvacuationView,
  getSubmissionId,
  type OwnerMessage,
  type WorkerDescription,
} from '@chervilbeam/coordination';
import type {Metrics} from '../../metrics/index.js';
import type {DecisionLogger} from '../decision-logger.js';
import {SpecCache} from './spec-cache.js';
import {isFromIncarnation, type WorkerPort} from './worker-port.js';

/** Delay in milliseconds before a stop whose outcome is unknown is retried. */
const stopRetryDelayMs = 250;
/** Time in milliseconds for which a stop is retried before its outcome is reported as unknown. */
const stopTimeoutMs = 2_500;

/** State of the agent when a command arrives. */
export interface CommandContext {
  readonly worker: WorkerDescription | undefined;
  /** Whether the worker has answered as the known incarnation since the latest call that failed. */
  readonly isIncarnationSure: boolean;
  /** Highest term of an owner that this agent has been connected to. */
  readonly term: number;
  /** Fencing token of calls to the worker. */
  readonly token: number;
}

/** Number of a command and the fencing token of the owner that has sent it. */
export type CommandIdentity = Pick<Extract<OwnerMessage, {kind: 'start'}>, 'order' | 'term'>;

/** Options of `WorkerCommands`. */
export interface WorkerCommandsOptions {
  /** Data centre of the agent. */
  readonly dataCentre: string;
  readonly worker: WorkerPort;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly metrics: Metrics;
  readonly getContext: () => CommandContext;
  /** Called when a command got no answer: the worker may have restarted. */
  readonly onUnanswered: () => void;
  /** Sends the outcome of a command to the owner, which may be another one than the command came from. */
  readonly sendResult: (order: CommandIdentity, outcome: CommandOutcome) => void;
}

/** Executes the owner's commands on the worker. On the wire and in logs, a command is called an order. */
export class WorkerCommands {
  private readonly specs = new SpecCache();
  /** Outlives the links to owners: a new owner may know less than the previous one. */
  private readonly evacuations = new EvacuationView();

  constructor(private readonly options: WorkerCommandsOptions) {}

  /** Uses a newer set of evacuated data centres; starts are refused from then on while the agent's is among them. */
  updateEvacuations({revision, dataCentres}: EvacuationSet): void {
    if (this.evacuations.update({revision, dataCentres}) !== 'changed') return;
    this.options.log.log('evacuation-changed', {revision, dataCentres});
  }

  /**
   * Starts a run; refused without a call when the term or the worker's incarnation is outdated, or the data centre is
   * evacuated.
   */
  async start(order: Extract<OwnerMessage, {kind: 'start'}>): Promise<void> {
    const spec = this.specs.resolve(getSubmissionId(order.task), order.spec);
    const state = this.options.getContext();
    const refusal = getStartRefusal(state, order.life, order.term);
    if (refusal !== undefined) return this.options.sendResult(order, refusal);
    if (this.isEvacuated(state)) {
      const outcome = {kind: 'refused', reason: 'evacuated'} as const;
      this.options.metrics.count('starts_refused_evacuated');
      this.logCommandOutcome('start', order.task, order.run, outcome);
      return this.options.sendResult(order, outcome);
    }
    if (spec === undefined) {
      return this.options.sendResult(order, {kind: 'refused', reason: 'spec-unknown'});
    }
    const {outcome} = await this.options.worker.start(getWorkerId(state), {
      task: order.task,
      run: order.run,
      spec,
      deadlineMs: order.deadlineMs,
      token: state.token,
      ...(order.checkpoint !== undefined && {checkpoint: order.checkpoint}),
      ...(order.ticket !== undefined && {ticket: order.ticket}),
    });
    if (outcome.kind === 'unknown') this.options.onUnanswered();
    this.logCommandOutcome('start', order.task, order.run, outcome);
    this.options.sendResult(order, outcome);
  }

  /** Stops a run, retrying while the outcome is unknown, and reports whether the worker still lists the run. */
  async stop(order: Extract<OwnerMessage, {kind: 'stop'}>): Promise<void> {
    const {clock, worker, getContext, sendResult} = this.options;
    const state = getContext();
    const refusal = getRefusal(state, order.life, order.term);
    if (refusal !== undefined) return sendResult(order, refusal);
    const {task, run} = order;
    const {token} = state;
    const id = getWorkerId(state);
    const startedAt = clock.now();
    let outcome: CommandOutcome = {kind: 'unknown'};
    while (outcome.kind === 'unknown' && clock.now() - startedAt < stopTimeoutMs) {
      outcome = (await worker.stop(id, task, run, token)).outcome;
      if (outcome.kind === 'unknown') this.options.onUnanswered();
      if (outcome.kind === 'unknown') await delay(stopRetryDelayMs);
    }
    if (outcome.kind === 'accepted') outcome = await this.checkRunListed(state, task, run);
    this.logCommandOutcome('stop', task, run, outcome);
    sendResult(order, outcome);
  }

  /** Sets the pace of a run, in percent of full pace. The outcome is logged but not sent to the owner. */
  async pace(order: Extract<OwnerMessage, {kind: 'pace'}>): Promise<void> {
    const state = this.options.getContext();
    if (getRefusal(state, order.life, order.term) !== undefined) return;
    const {task, run, percent} = order;
    const id = getWorkerId(state);
    const {outcome} = await this.options.worker.pace(id, task, run, percent, state.token);
    if (outcome.kind === 'unknown') this.options.onUnanswered();
    this.logCommandOutcome('pace', task, run, outcome);
  }

  /** The worker names its data centre itself; the owner places by that name. */
  private isEvacuated({worker}: CommandContext): boolean {
    const {evacuations} = this;
    return (
      evacuations.has(this.options.dataCentre) ||
      (worker !== undefined && evacuations.has(worker.dataCentre))
    );
  }

  private async checkRunListed(
    state: CommandContext,
    task: string,
    run: number,
  ): Promise<CommandOutcome> {
    // Another incarnation would drop ends of its own that have the numbers of acknowledged ones.
    const options = {token: state.token, acknowledged: 0};
    const reply = await this.options.worker.hold(getWorkerId(state), options);
    if (reply.kind !== 'listed') return {kind: 'unknown'};
    if (state.worker !== undefined && !isFromIncarnation(reply, state.worker))
      return {kind: 'unknown'};
    const isRunning = reply.running.some(row => row[0] === task && row[1] === run);
    const isEnded = reply.ends.some(end => end[1] === task && end[2] === run);
    if (!isRunning && !isEnded && reply.hasMoreEnds) return {kind: 'unknown'};
    return {kind: 'stopped', listed: isRunning || isEnded};
  }

  private logCommandOutcome(
    order: string,
    task: string,
    run: number,
    outcome: CommandOutcome,
  ): void {
    const {log, metrics, getContext} = this.options;
    const {worker, term} = getContext();
    metrics.count(`orders_${order}_${outcome.kind}`);
    log.log(`order-${order}`, {
      task,
      run,
      worker: worker?.life,
      outcome: outcome.kind,
      ...(outcome.kind === 'refused' && {reason: outcome.reason}),
      term,
    });
  }
}

function getWorkerId({worker}: CommandContext): string {
  return worker?.id ?? '';
}

function getStartRefusal(
  state: CommandContext,
  life: string,
  term: number,
): CommandOutcome | undefined {
  const refusal = getRefusal(state, life, term);
  if (refusal !== undefined) return refusal;
  if (!state.isIncarnationSure) return {kind: 'refused', reason: 'other-life'};
  return state.worker?.state === 'draining' ? {kind: 'refused', reason: 'draining'} : undefined;
}

function getRefusal(state: CommandContext, life: string, term: number): CommandOutcome | undefined {
  if (term < state.term) return {kind: 'refused', reason: 'fenced'};
  if (state.worker?.life !== life) return {kind: 'refused', reason: 'other-life'};
  return undefined;
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

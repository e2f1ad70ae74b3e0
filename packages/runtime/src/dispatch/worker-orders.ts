import type {Clock, OrderOutcome, OwnerMessage, WorkerDescription} from '@chervilbeam/coordination';
import type {Metrics} from '../metrics/index.js';
import type {DecisionLogger} from './decision-logger.js';
import type {WorkerPort} from './worker-port.js';

/** Time in milliseconds between two attempts of a stop that the worker did not answer. */
const stopRetryMs = 250;
/** Time in milliseconds for which a stop is repeated before its result counts as unknown. */
const stopLimitMs = 2_500;

/** What an agent knows when an order arrives. */
export interface OrderContext {
  readonly worker: WorkerDescription | undefined;
  /** Whether another life of the worker answers under its id. */
  readonly isReplaced: boolean;
  /** Term of the owner. */
  readonly term: number;
  /** Ends up to this number are stored. */
  readonly acknowledged: number;
}

/** Options of `WorkerOrders`. */
export interface WorkerOrdersOptions {
  readonly worker: WorkerPort;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly metrics: Metrics;
  readonly getState: () => OrderContext;
  /** Tells the owner the result of an order. */
  readonly finish: (order: number, outcome: OrderOutcome) => void;
}

/** Carries the owner's orders out at the worker. */
export class WorkerOrders {
  constructor(private readonly options: WorkerOrdersOptions) {}

  /** Starts a run. */
  async start(order: Extract<OwnerMessage, {kind: 'start'}>): Promise<void> {
    const state = this.options.getState();
    const refusal = getStartRefusal(state, order.life, order.term);
    if (refusal !== undefined) return this.options.finish(order.order, refusal);
    const {outcome} = await this.options.worker.start(getId(state), {
      task: order.task,
      run: order.run,
      spec: order.spec,
      deadlineMs: order.deadlineMs,
      token: order.term,
      ...(order.checkpoint !== undefined && {checkpoint: order.checkpoint}),
      ...(order.ticket !== undefined && {ticket: order.ticket}),
    });
    this.log('start', order.task, order.run, outcome);
    this.options.finish(order.order, outcome);
  }

  /** Stops a run and finds out whether the worker still lists it. */
  async stop(order: Extract<OwnerMessage, {kind: 'stop'}>): Promise<void> {
    const {clock, worker, getState, finish} = this.options;
    const state = getState();
    const refusal = getRefusal(state, order.life, order.term);
    if (refusal !== undefined) return finish(order.order, refusal);
    const {task, run, term} = order;
    const id = getId(state);
    const startedAt = clock.now();
    let outcome: OrderOutcome = {kind: 'unknown'};
    while (outcome.kind === 'unknown' && clock.now() - startedAt < stopLimitMs) {
      outcome = (await worker.stop(id, task, run, term)).outcome;
      if (outcome.kind === 'unknown') await delay(stopRetryMs);
    }
    if (outcome.kind === 'accepted') outcome = await this.checkListed(id, task, run, term);
    this.log('stop', task, run, outcome);
    finish(order.order, outcome);
  }

  /** Sets the share at which a run works. */
  async pace(order: Extract<OwnerMessage, {kind: 'pace'}>): Promise<void> {
    const state = this.options.getState();
    if (getRefusal(state, order.life, order.term) !== undefined) return;
    const {task, run, percent, term} = order;
    const {outcome} = await this.options.worker.pace(getId(state), task, run, percent, term);
    this.log('pace', task, run, outcome);
  }

  private async checkListed(
    id: string,
    task: string,
    run: number,
    token: number,
  ): Promise<OrderOutcome> {
    const {acknowledged} = this.options.getState();
    const reply = await this.options.worker.hold(id, {token, acknowledged});
    if (reply.kind !== 'listed') return {kind: 'unknown'};
    const isRunning = reply.running.some(row => row[0] === task && row[1] === run);
    const isEnded = reply.ends.some(end => end[1] === task && end[2] === run);
    return {kind: 'stopped', listed: isRunning || isEnded};
  }

  private log(order: string, task: string, run: number, outcome: OrderOutcome): void {
    const {log, metrics, getState} = this.options;
    const {worker, term} = getState();
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

function getId({worker}: OrderContext): string {
  return worker?.id ?? '';
}

function getStartRefusal(
  state: OrderContext,
  life: string,
  term: number,
): OrderOutcome | undefined {
  if (state.isReplaced) return {kind: 'refused', reason: 'other-life'};
  const refusal = getRefusal(state, life, term);
  if (refusal !== undefined) return refusal;
  return state.worker?.state === 'draining' ? {kind: 'refused', reason: 'draining'} : undefined;
}

function getRefusal(state: OrderContext, life: string, term: number): OrderOutcome | undefined {
  if (term < state.term) return {kind: 'refused', reason: 'fenced'};
  if (state.worker?.life !== life) return {kind: 'refused', reason: 'other-life'};
  return undefined;
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

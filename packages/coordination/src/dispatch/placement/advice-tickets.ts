import {getSubmissionId} from '../../submissions/index.js';
import type {StepTasks} from '../step-tasks.js';
import type {DispatchState} from '../dispatch-state.js';
import type {Task} from '../task.js';
import type {WorkerView} from '../worker-view.js';

/** Number of workers named in one request; its duration grows with them. */
const maxWorkersPerRequest = 30;
/** Part of a ticket's validity, in milliseconds, that is left for the start command to reach the worker. */
const startReserveMs = 400;
/** Delay in milliseconds before a request is repeated that got no advice. */
const retryDelayMs = 500;
/**
 * Time in milliseconds, added to the duration that the queue's settings state, after which a request counts as lost. The
 * advisor answers the requests of a host in turn, so one that timed out may still delay the next one.
 */
const replyMarginMs = 2_000;

/** Reply of the advisor to one request. */
export type AdviceReply =
  | {
      readonly kind: 'allowed';
      /** Ids of the workers that may run the step, each with its ticket. */
      readonly tickets: ReadonlyArray<readonly [worker: string, ticket: string]>;
      /** Time in milliseconds for which the tickets are valid. */
      readonly validityMs: number;
    }
  | {readonly kind: 'unavailable'; readonly reason: string};

interface Ticket {
  readonly ticket: string;
  readonly validUntil: number;
}

/** What is known of one step. */
interface StepAdvice {
  /** By worker incarnation. A worker that is not allowed stays so, so it is not asked about again. */
  readonly tickets: Map<string, Ticket | 'not-allowed'>;
  /** Time before which no request is sent. */
  notBefore: number;
}

interface PendingRequest {
  readonly step: string;
  /** Incarnations of the named workers, by id. */
  readonly lives: ReadonlyMap<string, string>;
  readonly sentAt: number;
  readonly timeoutMs: number;
}

/**
 * Tickets for queues whose policy allows only some workers to run a step. The advisor answers one request at a time, so
 * one is sent at a time, for the first step in scheduling order that needs one. A ticket is valid for all tasks of the
 * step on one incarnation of a worker.
 */
export class AdviceTickets {
  private readonly steps = new Map<string, StepAdvice>();
  private pending: PendingRequest | undefined;

  constructor(private readonly state: DispatchState) {}

  /** Whether the tasks of a step start only with a ticket. */
  isNeeded(task: Task): boolean {
    return task.submission.queue?.advice !== undefined;
  }

  /** Returns the ticket with which a task may be started on a worker now, or undefined. */
  getTicket(task: Task, worker: WorkerView, at: number): string | undefined {
    const ticket = this.steps.get(getStepName(task))?.tickets.get(worker.life);
    if (ticket === undefined || ticket === 'not-allowed') return undefined;
    return at < ticket.validUntil ? ticket.ticket : undefined;
  }

  /** Whether a worker is not known to be excluded from a task's step. */
  mayAllow(task: Task, worker: WorkerView): boolean {
    return this.steps.get(getStepName(task))?.tickets.get(worker.life) !== 'not-allowed';
  }

  /**
   * Requests tickets for a step whose waiting tasks fit on no worker with a ticket. `candidates` are the workers on which
   * its tasks would fit if they were empty.
   */
  request(group: StepTasks, candidates: readonly WorkerView[], at: number): void {
    const task = group.getTask(0);
    const settings = task.submission.queue?.advice;
    if (settings === undefined || this.isWaiting(at)) return;
    const step = getStepName(task);
    const advice = this.getStep(step);
    if (at < advice.notBefore) return;
    const workers = selectWorkers(advice, candidates, at);
    if (workers.length === 0) return;
    const lives = new Map(workers.map(worker => [worker.description.id, worker.life]));
    const timeoutMs = settings.decisionMs + settings.perWorkerMs * lives.size + replyMarginMs;
    this.pending = {step, lives, sentAt: at, timeoutMs};
    this.state.count('advice_requests');
    this.state.emit({kind: 'advise', step, workers: [...lives.keys()], timeoutMs});
  }

  /** Records the reply to the request of a step; ignores replies to others. */
  receive(step: string, reply: AdviceReply, at: number): void {
    const {pending, state} = this;
    if (pending?.step !== step) return;
    this.pending = undefined;
    state.requestPlacement();
    const advice = this.getStep(step);
    if (reply.kind === 'unavailable') {
      advice.notBefore = at + retryDelayMs;
      state.count('advice_unavailable');
      state.log({
        event: 'advice-unavailable',
        submission: getSubmissionId(step),
        step,
        reason: reply.reason,
        ageMs: Math.round(at - pending.sentAt),
      });
      return;
    }
    const ids = new Map(reply.tickets);
    // The validity may have begun when the request arrived.
    const validUntil = pending.sentAt + reply.validityMs - startReserveMs;
    for (const [id, life] of pending.lives) {
      const ticket = ids.get(id);
      advice.tickets.set(life, ticket === undefined ? 'not-allowed' : {ticket, validUntil});
    }
    // The call may have taken longer than the tickets are valid.
    if (validUntil <= at) advice.notBefore = at + retryDelayMs;
    state.log({
      event: 'advice-received',
      submission: getSubmissionId(step),
      step,
      workers: pending.lives.size,
      allowed: ids.size,
      ageMs: Math.round(at - pending.sentAt),
    });
  }

  /** Drops the ticket of a step that a worker has rejected. */
  reject(task: Task, worker: WorkerView, at: number): void {
    const advice = this.getStep(getStepName(task));
    advice.tickets.delete(worker.life);
    advice.notBefore = Math.max(advice.notBefore, at + retryDelayMs);
  }

  /** Forgets the steps of submissions that have ended. */
  retain(isActive: (step: string) => boolean): void {
    for (const step of this.steps.keys()) if (!isActive(step)) this.steps.delete(step);
  }

  /** Forgets everything. */
  clear(): void {
    this.steps.clear();
    this.pending = undefined;
  }

  private isWaiting(at: number): boolean {
    const {pending} = this;
    return pending !== undefined && at - pending.sentAt < pending.timeoutMs;
  }

  private getStep(step: string): StepAdvice {
    let advice = this.steps.get(step);
    if (advice === undefined) {
      advice = {tickets: new Map(), notBefore: Number.NEGATIVE_INFINITY};
      this.steps.set(step, advice);
    }
    return advice;
  }
}

/** Returns the name of a task's step, by which the advisor knows it. */
function getStepName(task: Task): string {
  return task.name.slice(0, task.name.lastIndexOf('.'));
}

/** Returns the workers to ask about: allowed ones whose tickets have expired, otherwise unknown ones with most room. */
function selectWorkers(
  {tickets}: StepAdvice,
  candidates: readonly WorkerView[],
  at: number,
): WorkerView[] {
  const expired = candidates.filter(worker => {
    const ticket = tickets.get(worker.life);
    return ticket !== undefined && ticket !== 'not-allowed' && ticket.validUntil <= at;
  });
  if (expired.length > 0) return expired.slice(0, maxWorkersPerRequest);
  return candidates
    .filter(worker => !tickets.has(worker.life))
    .sort((a, b) => getFreeCores(b) - getFreeCores(a))
    .slice(0, maxWorkersPerRequest);
}

function getFreeCores(worker: WorkerView): number {
  return worker.capacity.processors - worker.used.processors;
}

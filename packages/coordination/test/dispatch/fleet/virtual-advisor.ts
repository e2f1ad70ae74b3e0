import type {AdviceReply, OwnerMessage} from '../../../src/dispatch/index.js';

/** A simulated advisor: answers requests for tickets and knows which tickets are valid. */
export class VirtualAdvisor {
  /** Whether a worker, given by id, may run a step. */
  isAllowed: (step: string, worker: string) => boolean = () => true;
  /** Time in milliseconds for one request, and in addition for each worker that it names. */
  decisionMs = 50;
  perWorkerMs = 5;
  validityMs = 3_000;
  /** Number of next requests that are not answered. */
  lostRequests = 0;
  /** Number of next requests that are refused. */
  refusedRequests = 0;
  /** Number of workers that each request named. */
  readonly requests: number[] = [];
  /** Time until which each ticket is valid. */
  private readonly tickets = new Map<string, number>();

  /** Returns the reply and the time in milliseconds until it arrives, or undefined when it is lost. */
  answer(
    step: string,
    workers: readonly string[],
    at: number,
  ): {readonly reply: AdviceReply; readonly durationMs: number} | undefined {
    this.requests.push(workers.length);
    if (this.lostRequests > 0) {
      this.lostRequests -= 1;
      return undefined;
    }
    const durationMs = this.decisionMs + this.perWorkerMs * workers.length;
    if (this.refusedRequests > 0) {
      this.refusedRequests -= 1;
      return {reply: {kind: 'unavailable', reason: 'busy'}, durationMs};
    }
    const tickets = workers
      .filter(worker => this.isAllowed(step, worker))
      .map(worker => {
        const ticket = getTicket(step, worker);
        this.tickets.set(ticket, at + durationMs + this.validityMs);
        return [worker, ticket] as const;
      });
    return {reply: {kind: 'allowed', tickets, validityMs: this.validityMs}, durationMs};
  }

  /** Whether a start carries a valid ticket for its step on a worker; each incarnation has an id of its own here. */
  isValid(
    {task, ticket}: Extract<OwnerMessage, {kind: 'start'}>,
    worker: string,
    at: number,
  ): boolean {
    if (ticket !== getTicket(task.slice(0, task.lastIndexOf('.')), worker)) return false;
    return at < (this.tickets.get(ticket) ?? 0);
  }
}

function getTicket(step: string, worker: string): string {
  return `${step}@${worker}`;
}

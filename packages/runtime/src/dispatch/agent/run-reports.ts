import type {AgentMessage, RunEndRow, WorkerDescription} from '@chervilbeam/coordination';
import type {LeaseRenewalReply} from './worker-port.js';

/** Interval in milliseconds at which reports include the full list of running runs. */
const runListIntervalMs = 500;

/** Turns the lists of a worker into reports to the owner, which repeat no end on the same link. */
export class RunReports {
  /** Highest sequence number of an end that was reported on the current link. */
  private lastEnd = 0;
  private runListAt = Number.NEGATIVE_INFINITY;
  private isRunListDue = true;

  /** Starts anew, for another incarnation of the worker or another link: the next report is complete. */
  reset(): void {
    this.lastEnd = 0;
    this.isRunListDue = true;
  }

  /** Creates the report of the new ends and, at intervals, of all running runs. */
  create(
    worker: WorkerDescription,
    {term, token}: {readonly term: number; readonly token: number},
    reply: Extract<LeaseRenewalReply, {kind: 'listed'}>,
    now: number,
  ): AgentMessage {
    const ends: RunEndRow[] = [];
    for (const end of reply.ends) if (end[0] > this.lastEnd) ends.push(end);
    for (const end of ends) this.lastEnd = Math.max(this.lastEnd, end[0]);
    const includesRunList = this.isRunListDue || now - this.runListAt >= runListIntervalMs;
    if (includesRunList) this.runListAt = now;
    this.isRunListDue = false;
    return {
      kind: 'report',
      life: worker.life,
      term,
      token,
      clockMs: reply.clockMs,
      ends,
      ...(reply.hasMoreEnds && {hasMoreEnds: true}),
      ...(includesRunList && {running: reply.running}),
    };
  }
}

import {getWorkCoreMs, isLasting, type Queue, type Step} from '../../submissions/index.js';
import {
  type CostDecision,
  decideCostAdmission,
  getNewRank,
  getWorkKind,
  type WorkKind,
} from '../cost/index.js';
import {getQueueGroup, type QueueBacklogs} from './queue-backlogs.js';

/** Time in milliseconds over which an entry takes the rate at which it accepts work. */
const rateWindowMs = 5_000;

interface AcceptedWork {
  readonly at: number;
  /** Group and kind of work. */
  readonly key: string;
  readonly rank: number;
  readonly coreMs: number;
}

/** A new submission that runs once. */
export interface NewSubmission {
  readonly id: string;
  readonly queue: Queue;
  readonly steps: readonly Step[];
}

/** Decides at one entry on new submissions by what their delay and their acceptance cost callers. */
export class CostAdmission {
  private backlogs: QueueBacklogs | undefined;
  private backlogsAt = Number.NEGATIVE_INFINITY;
  /** Work that this entry has accepted within `rateWindowMs`. */
  private accepted: AcceptedWork[] = [];

  /** Replaces the backlogs with those that the owner has published. */
  update(backlogs: QueueBacklogs, at: number): void {
    this.backlogs = backlogs;
    this.backlogsAt = at;
  }

  /**
   * Decides on a submission; undefined when the owner has not published what the decision needs. `entries` is the number of
   * entries, which are taken to accept as much as this one does.
   */
  decide(submission: NewSubmission, entries: number, at: number): CostDecision | undefined {
    const {id, queue, steps} = submission;
    const cost = this.backlogs?.getCost(queue);
    if (cost === undefined || isLasting({steps})) return undefined;
    const kind = getWorkKind(steps);
    const queueWork = cost.work;
    return decideCostAdmission({
      id,
      queue,
      steps,
      runTimeFactor: this.backlogs?.get(queue)?.runTimeFactor ?? 1,
      queueWork,
      curve: cost[kind],
      acceptedCoreMs: this.getAcceptedCoreMs(
        getKey(queue, kind),
        getNewRank(id, steps, queueWork),
        entries,
        at,
      ),
    });
  }

  /** Records that this entry has accepted a submission. */
  recordAccepted({id, queue, steps}: NewSubmission, at: number): void {
    const key = getKey(queue, getWorkKind(steps));
    const rank = getNewRank(id, steps, this.backlogs?.getCost(queue)?.work);
    this.accepted.push({at, key, rank, coreMs: getWorkCoreMs(steps)});
  }

  /**
   * Returns the work in core-milliseconds that is not in the backlogs yet and goes before a submission: what this entry has
   * accepted since, and what the other entries have probably accepted, by the recent rate of this one.
   */
  private getAcceptedCoreMs(key: string, rank: number, entries: number, at: number): number {
    const from = at - rateWindowMs;
    this.accepted = this.accepted.filter(work => work.at >= from);
    let own = 0;
    let recent = 0;
    for (const work of this.accepted) {
      if (work.key !== key || work.rank > rank) continue;
      recent += work.coreMs;
      if (work.at >= this.backlogsAt) own += work.coreMs;
    }
    const ageMs = Math.min(rateWindowMs, Math.max(0, at - this.backlogsAt));
    return own + (entries - 1) * recent * (ageMs / rateWindowMs);
  }
}

function getKey(queue: Queue, kind: WorkKind): string {
  return `${getQueueGroup(queue)}/${kind}`;
}

import {
  CostAdmission,
  decideAdmission,
  isLasting,
  type Queue,
  type QueueBacklogs,
  type Scheduling,
  type ValidDraft,
} from '@chervilbeam/coordination';
import type {RefusalReason, SubmissionReply} from './submission-calls.js';

/** Age in milliseconds above which the queue backlogs are too old to base admission on. */
const maxBacklogAgeMs = 3_000;

/** Refusal because of what has been accepted before, and the expected wait in milliseconds if that is the reason. */
export interface SubmissionRefusal {
  readonly reply: Extract<SubmissionReply, {kind: 'refused'}>;
  readonly waitMs?: number;
}

/** Options of `BacklogAdmission`. */
export interface BacklogAdmissionOptions {
  /** Rules of admission; `urgency` by default. */
  readonly scheduling?: Scheduling;
  /** Returns the number of entries. */
  readonly getEntryCount: () => number;
}

/** Decides on new submissions by the owner's latest backlogs and by what this entry has accepted since. */
export class BacklogAdmission {
  private backlogs: QueueBacklogs | undefined;
  private receivedAt = Number.NEGATIVE_INFINITY;
  /** Work in core-milliseconds that this entry has accepted since it received the latest backlogs, by queue key. */
  private readonly acceptedCoreMs = new Map<string, number>();
  private readonly cost = new CostAdmission();

  constructor(private readonly options: BacklogAdmissionOptions) {}

  /** Replaces the backlogs with those that the owner published. */
  update(backlogs: QueueBacklogs, at: number): void {
    this.backlogs = backlogs;
    this.receivedAt = at;
    this.acceptedCoreMs.clear();
    this.cost.update(backlogs, at);
  }

  /**
   * Returns a refusal when the submission would not finish in time behind the backlog, or would cost the work behind it more
   * than it is worth, otherwise undefined; undefined also when no recent backlog is known.
   */
  check(id: string, queue: Queue, draft: ValidDraft, at: number): SubmissionRefusal | undefined {
    if (at - this.receivedAt >= maxBacklogAgeMs) return undefined;
    const {steps, repetitions} = draft;
    const decision =
      this.options.scheduling === 'cost' && repetitions === 0
        ? this.cost.decide({id, queue, steps}, this.options.getEntryCount(), at)
        : undefined;
    // An owner of an older version publishes only the sum of the waiting work.
    if (decision === undefined) return this.checkSum(queue, draft);
    if (decision.kind === 'accept') return undefined;
    return createRefusal(decision.reason, decision.retryAfterSeconds, decision.waitMs);
  }

  private checkSum(queue: Queue, draft: ValidDraft): SubmissionRefusal | undefined {
    const level = this.backlogs?.get(queue);
    const addedCoreMs = this.acceptedCoreMs.get(queue.key) ?? 0;
    const addedWaitMs = level ? addedCoreMs / Math.max(1, level.cores) : 0;
    const currentBacklog = level && {
      ...level,
      waitMs: level.waitMs + addedWaitMs,
      fillWaitMs: level.fillWaitMs + addedWaitMs,
    };
    const admission = decideAdmission(queue, draft.steps, draft.repetitions > 0, currentBacklog);
    if (admission.kind === 'accept') return undefined;
    return createRefusal('backlog', admission.retryAfterSeconds, admission.waitMs);
  }

  /** Records that this entry has accepted a submission. */
  recordAccepted(id: string, queue: Queue, draft: ValidDraft, at: number): void {
    if (isLasting(draft)) return;
    let coreMs = this.acceptedCoreMs.get(queue.key) ?? 0;
    for (const step of draft.steps) coreMs += step.count * step.need.processors * step.estimatedMs;
    this.acceptedCoreMs.set(queue.key, coreMs);
    if (draft.repetitions === 0) this.cost.recordAccepted({id, queue, steps: draft.steps}, at);
  }
}

function createRefusal(
  reason: RefusalReason,
  retryAfterSeconds: number,
  waitMs: number,
): SubmissionRefusal {
  return {reply: {kind: 'refused', retryAfterSeconds, reason}, waitMs};
}

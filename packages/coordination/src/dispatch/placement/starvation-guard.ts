import type {DispatchState} from '../dispatch-state.js';
import type {Run} from '../task.js';
import type {Candidate} from './submission-order.js';

/** Time in milliseconds after which a submission of which nothing runs gets a task ahead of others. */
const maxInitialIdleMs = 8_000;
/** The same once it has been begun: short, so that it goes on without long gaps. */
const maxLaterIdleMs = 1_500;
/** Largest fraction of the processors left by other tasks that filling tasks may get in this way. */
const maxFillingShare = 0.25;
/** The same when work is ordered by what its delay costs, which leaves fewer submissions behind that can still be in time. */
const maxFillingShareByCost = 0.1;

/**
 * Finds the submissions that the order of the remaining work would starve. Large ones wait behind all smaller ones, so
 * under a lasting load nothing of them might ever run. Each of them gets one task at a time; all together get a limited
 * share, so that on a full service the small ones are still in time.
 */
export class StarvationGuard {
  /** Runs of filling tasks that were started ahead of others and have not ended. */
  private readonly runs = new Set<Run>();

  constructor(private readonly state: DispatchState) {}

  /** Forgets all runs. */
  clear(): void {
    this.runs.clear();
  }

  /** Records a run that was started because of `getStarving`. */
  recordStart(run: Run): void {
    if (run.task.step.fills) this.runs.add(run);
  }

  /** Yields the starving candidates that may get a task now: begun ones first, then those that have waited longest. */
  *getStarving(candidates: readonly Candidate[], at: number): Generator<Candidate> {
    const starving = candidates.filter(candidate => isStarving(candidate, at));
    if (starving.length === 0) return;
    starving.sort(this.state.usesCost ? compareCost : compareUrgency);
    const allowedCores = this.getAllowedCores();
    for (const candidate of starving) {
      const {service} = candidate.submission;
      const cores = getFillingCores(candidate);
      const allowed = allowedCores.get(service) ?? 0;
      if (cores > allowed) continue;
      allowedCores.set(service, allowed - cores);
      yield candidate;
    }
  }

  /** Returns the processors that may still be used, by service. */
  private getAllowedCores(): Map<string, number> {
    const allowed = new Map<string, number>();
    const share = this.state.usesCost ? maxFillingShareByCost : maxFillingShare;
    const add = (service: string, cores: number) =>
      allowed.set(service, (allowed.get(service) ?? 0) + cores);
    for (const {description, capacity, used} of this.state.workers.values()) {
      add(description.service, (capacity.processors - used.processors) * share);
    }
    for (const run of this.runs) {
      if (!run.task.runs.includes(run)) this.runs.delete(run);
      else add(run.worker.description.service, -run.task.step.need.processors);
    }
    return allowed;
  }
}

function isStarving({submission, runs, idleSince, occurrence}: Candidate, at: number): boolean {
  if (submission.isLasting || runs > 0) return false;
  return at - idleSince >= (occurrence.hasRun ? maxLaterIdleMs : maxInitialIdleMs);
}

function compareUrgency(a: Candidate, b: Candidate): number {
  return Number(b.occurrence.hasRun) - Number(a.occurrence.hasRun) || a.idleSince - b.idleSince;
}

/** Work that can still be in time goes first, since the others have less to lose. */
function compareCost(a: Candidate, b: Candidate): number {
  return a.lateness - b.lateness || compareUrgency(a, b);
}

/** Returns the processors of one task of a candidate's first ready step; 0 if the task reserves its processors. */
function getFillingCores({steps}: Candidate): number {
  const step = steps[0]?.step;
  return step?.fills ? step.need.processors : 0;
}

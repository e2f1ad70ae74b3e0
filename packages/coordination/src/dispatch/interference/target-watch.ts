import type {DispatchTiming} from '../dispatch-timing.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import {drainMs, getServingRuns, maxTargetShare, measurementAgeMs} from './interference-model.js';

/** Time in milliseconds from the decision to pause filling tasks until the worker has paused them. */
export const commandMs = 300;

/**
 * Watches for how long each serving task has been over its latency target without a break, by its own tail latency:
 * the median of its group hides a single slow task.
 */
export class TargetWatch {
  private readonly underTargetAtByRun = new WeakMap<Run, number>();

  constructor(private readonly timing: Pick<DispatchTiming, 'maxOverTargetMs'>) {}

  /** Records the latest measurements of a worker, and sets the time from which its filling tasks have to be paused. */
  observe(worker: WorkerView, at: number): void {
    const {maxOverTargetMs} = this.timing;
    if (!Number.isFinite(maxOverTargetMs)) return;
    let overSince = Number.POSITIVE_INFINITY;
    for (const run of getServingRuns(worker)) {
      if (mayBeOverTarget(run)) overSince = Math.min(overSince, this.getOverSince(run));
      else this.underTargetAtByRun.set(run, at);
    }
    worker.pauseFillersAt = overSince + maxOverTargetMs - commandMs - drainMs;
  }

  /** Returns the earliest time since which a run may have been over its target. */
  private getOverSince(run: Run): number {
    const underTargetAt = this.underTargetAtByRun.get(run);
    if (underTargetAt !== undefined) return underTargetAt - measurementAgeMs;
    // The previous owner may have seen an adopted run over its target for any time.
    return run.adoptedPercent === undefined ? run.startedAt : Number.NEGATIVE_INFINITY;
  }
}

/** Whether a run may be over its target: measurements are rough, and pacing keeps them below `maxTargetShare`. */
function mayBeOverTarget({percent, measurement, task}: Run): boolean {
  const {tailTargetMs = Number.POSITIVE_INFINITY} = task.step;
  return percent >= 100 && measurement >= tailTargetMs * maxTargetShare;
}

import {getEstimateMs, type Step} from '../../submissions/index.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import {
  type FillingLoad,
  getFillers,
  getServingGroups,
  type InterferenceModel,
  type ServingGroup,
} from './interference-model.js';

/** Time in milliseconds for which cached headroom stays valid while nothing changes on the worker. */
const validMs = 250;

/** Tail latency, as a fraction of the target, from which a serving task has no headroom regardless of its load. */
const noHeadroomTargetShare = 0.8;

/** Returns the key of a pair of a serving and a filling image. */
export function getImagePairKey(serving: string, filling: string | undefined): string {
  return `${serving} ${filling ?? ''}`;
}

/** Capacity of a worker for filling tasks, computed once for all tasks of a placement round. */
export class WorkerHeadroom {
  readonly groups: readonly ServingGroup[];
  readonly fillers: readonly Run[];
  /** Processors that are expected to stay unused. */
  readonly unusedCores: number;
  /** Pairs of images that run together on the worker and whose pressure has not been measured yet. */
  readonly unmeasuredPairs: ReadonlySet<string>;
  private readonly headroomUses = new Map<string, number>();

  constructor(
    private readonly interference: InterferenceModel,
    private readonly worker: WorkerView,
    private readonly at: number,
  ) {
    this.groups = getServingGroups(worker);
    this.fillers = getFillers(worker);
    this.unusedCores = this.getUnusedCores();
    this.unmeasuredPairs = this.getUnmeasuredPairs();
  }

  /**
   * Returns the largest fraction of any serving group's remaining headroom that a filling task would use: 0 on a
   * worker without serving groups, above 1 when the task would have to be slowed down.
   */
  getHeadroomUse(step: Step): number {
    const {image, need} = step;
    const durationMs = getEstimateMs(step);
    const key = `${image ?? ''} ${need.processors} ${durationMs}`;
    let headroomUse = this.headroomUses.get(key);
    if (headroomUse === undefined) {
      const coreShare = need.processors / this.worker.capacity.processors;
      headroomUse = this.computeHeadroomUse({image, coreShare}, durationMs);
      this.headroomUses.set(key, headroomUse);
    }
    return headroomUse;
  }

  /** Whether a filling task would fit in place of a running one. */
  canReplace(run: Run, step: Step): boolean {
    const {processors} = this.worker.capacity;
    const freedCores = (run.task.step.need.processors * run.pace) / 100;
    if (this.unusedCores + freedCores < step.need.processors) return false;
    const freed = {image: run.task.step.image, coreShare: freedCores / processors};
    const filling = {image: step.image, coreShare: step.need.processors / processors};
    return this.computeHeadroomUse(filling, getEstimateMs(step), freed) <= 1;
  }

  private computeHeadroomUse(
    filling: FillingLoad,
    durationMs: number,
    freed?: FillingLoad,
  ): number {
    const {interference, worker, at} = this;
    if (worker.mustPauseFillers(at)) return Number.POSITIVE_INFINITY;
    let maxUse = 0;
    for (const group of this.groups) {
      if (group.tailMs >= group.targetMs * noHeadroomTargetShare) return Number.POSITIVE_INFINITY;
      const budget = interference.getSustainedPressureBudget(group, durationMs, at);
      const freedPressure = freed ? interference.getPressure(group, freed, at) : 0;
      const remaining = budget - interference.getTotalPressure(worker, group, at) + freedPressure;
      const pressure = interference.getPressure(group, filling, at);
      maxUse = Math.max(maxUse, remaining > 0 ? pressure / remaining : Number.POSITIVE_INFINITY);
    }
    return maxUse;
  }

  private getUnusedCores(): number {
    const {worker, interference, at} = this;
    let unused = worker.capacity.processors - worker.used.processors;
    for (const run of worker.runs.values()) {
      const {lasting, fills, need} = run.task.step;
      if (fills) unused -= (need.processors * run.pace) / 100;
      else if (lasting)
        unused += need.processors * (1 - interference.getExpectedUtilization(run, at));
    }
    return unused;
  }

  private getUnmeasuredPairs(): Set<string> {
    const pairs = new Set<string>();
    for (const {task} of this.fillers) {
      const filling = task.step.image;
      for (const {image} of this.groups) {
        const isMeasured = this.interference.isPairMeasured(image, filling, this.at);
        if (!isMeasured) pairs.add(getImagePairKey(image, filling));
      }
    }
    return pairs;
  }
}

/** Returns the headroom of workers. */
export interface HeadroomSource {
  get(worker: WorkerView, at: number): WorkerHeadroom;
}

interface CachedHeadroom {
  readonly headroom: WorkerHeadroom;
  readonly changes: number;
  readonly at: number;
}

/** Caches the headroom of workers until their runs or measurements change, or for `validMs`. */
export class WorkerHeadroomCache implements HeadroomSource {
  /** The headroom that was used last, however old; reading it does not change what a placement finds. */
  readonly latest: HeadroomSource = {
    get: (worker, at) =>
      this.cache.get(worker)?.headroom ?? new WorkerHeadroom(this.interference, worker, at),
  };
  private readonly cache = new WeakMap<WorkerView, CachedHeadroom>();

  constructor(private readonly interference: InterferenceModel) {}

  /** Returns the headroom of a worker, from the cache when it is still valid. */
  get(worker: WorkerView, at: number): WorkerHeadroom {
    const cached = this.cache.get(worker);
    if (cached?.changes === worker.changes && at - cached.at < validMs) return cached.headroom;
    const headroom = new WorkerHeadroom(this.interference, worker, at);
    this.cache.set(worker, {headroom, changes: worker.changes, at});
    return headroom;
  }
}

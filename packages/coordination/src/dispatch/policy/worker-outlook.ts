import {getEstimateMs, type Step} from '../../submissions/index.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import {
  getFillers,
  getServingGroups,
  type Interference,
  type ServingGroup,
} from './interference.js';

/** Time in milliseconds for which an outlook holds while nothing changes on its worker. */
const validMs = 250;

/** Part of its target from which a serving task bears nothing more, whatever its load is thought to be. */
const crowdedShare = 0.8;

/** Returns the key of a pair of images. */
export function getPairKey(serving: string, filling: string | undefined): string {
  return `${serving} ${filling ?? ''}`;
}

/** What a worker has to offer to filling tasks, worked out once for all tasks of a round. */
export class WorkerOutlook {
  readonly groups: readonly ServingGroup[];
  readonly fillers: readonly Run[];
  /** Processors that nothing is expected to use. */
  readonly unusedCores: number;
  /** Pairs of images on the worker whose pressure is not known yet. */
  readonly triedPairs: ReadonlySet<string>;
  private readonly takenShares = new Map<string, number>();

  constructor(
    private readonly interference: Interference,
    private readonly worker: WorkerView,
    private readonly at: number,
  ) {
    this.groups = getServingGroups(worker);
    this.fillers = getFillers(worker);
    this.unusedCores = this.getUnusedCores();
    this.triedPairs = this.getTriedPairs();
  }

  /**
   * Returns the largest part of what the serving tasks of the worker still bear that a filling task would take;
   * 0 on a worker without serving tasks, above 1 where it would have to be paced down.
   */
  getTakenShare(step: Step): number {
    const {image, need} = step;
    const durationMs = getEstimateMs(step);
    const key = `${image ?? ''} ${need.processors} ${durationMs}`;
    let taken = this.takenShares.get(key);
    if (taken === undefined) {
      const share = need.processors / this.worker.capacity.processors;
      taken = this.computeTakenShare({image, share}, durationMs);
      this.takenShares.set(key, taken);
    }
    return taken;
  }

  private computeTakenShare(
    filling: {readonly image: string | undefined; readonly share: number},
    durationMs: number,
  ): number {
    const {interference, worker, at} = this;
    let taken = 0;
    for (const group of this.groups) {
      if (group.tailMs >= group.targetMs * crowdedShare) return Number.POSITIVE_INFINITY;
      const budget = interference.getLastingBudget(group, durationMs, at);
      const left = budget - interference.getPressureOn(worker, group, at);
      const pressure = interference.getPressure(group, filling, at);
      taken = Math.max(taken, left > 0 ? pressure / left : Number.POSITIVE_INFINITY);
    }
    return taken;
  }

  private getUnusedCores(): number {
    const {worker, interference, at} = this;
    let unused = worker.capacity.processors - worker.used.processors;
    for (const run of worker.runs.values()) {
      const {lasting, fills, need} = run.task.step;
      if (fills) unused -= (need.processors * run.pace) / 100;
      else if (lasting) unused += need.processors * (1 - interference.getUse(run, at));
    }
    return unused;
  }

  private getTriedPairs(): Set<string> {
    const pairs = new Set<string>();
    for (const {task} of this.fillers) {
      const filling = task.step.image;
      for (const {image} of this.groups) {
        const isKnown = this.interference.isKnown(image, filling, this.at);
        if (!isKnown) pairs.add(getPairKey(image, filling));
      }
    }
    return pairs;
  }
}

interface KeptOutlook {
  readonly outlook: WorkerOutlook;
  readonly change: number;
  readonly at: number;
}

/** Keeps the outlooks of workers until something changes there. */
export class WorkerOutlooks {
  private readonly kept = new WeakMap<WorkerView, KeptOutlook>();

  constructor(private readonly interference: Interference) {}

  /** Returns the outlook of a worker. */
  get(worker: WorkerView, at: number): WorkerOutlook {
    const kept = this.kept.get(worker);
    if (kept?.change === worker.changes && at - kept.at < validMs) return kept.outlook;
    const outlook = new WorkerOutlook(this.interference, worker, at);
    this.kept.set(worker, {outlook, change: worker.changes, at});
    return outlook;
  }
}

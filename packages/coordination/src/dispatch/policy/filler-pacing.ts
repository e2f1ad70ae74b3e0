import type {DispatchState} from '../dispatch-state.js';
import type {RunOrders} from '../run-orders.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import {
  getFillers,
  getServingGroups,
  type Interference,
  type ServingGroup,
} from './interference.js';
import type {WorkerOutlooks} from './worker-outlook.js';

/** Limits of `FillerPacing`. */
export interface FillerPacingOptions {
  /** Smallest change of a pace in percent that is worth an order. */
  readonly smallestChange: number;
  /** Lowest pace in percent other than 0. */
  readonly lowestPace: number;
  /** Part of its target from which a serving task is relieved at once. */
  readonly highShare: number;
  /** Time in milliseconds at a pace below `slowPace` after which a filling task is moved. */
  readonly moveAfterMs: number;
  /** Pace in percent below which a filling task makes too little progress. */
  readonly slowPace: number;
}

const defaultOptions: FillerPacingOptions = {
  smallestChange: 15,
  lowestPace: 10,
  highShare: 0.9,
  moveAfterMs: 1_200,
  slowPace: 40,
};

/**
 * Keeps filling tasks from disturbing the serving tasks beside them: their paces share the pressure that the
 * serving tasks bear, the most urgent first. What makes too little progress is moved where there is more room.
 */
export class FillerPacing {
  private readonly options: FillerPacingOptions;
  private readonly slowSince = new WeakMap<Run, number>();

  constructor(
    private readonly state: DispatchState,
    private readonly orders: RunOrders,
    private readonly interference: Interference,
    private readonly outlooks: WorkerOutlooks,
    options: Partial<FillerPacingOptions> = {},
  ) {
    this.options = {...defaultOptions, ...options};
  }

  /** Looks at the newest measurements of a worker. */
  check(worker: WorkerView, at: number): void {
    this.interference.observe(worker, at);
    const fillers = getFillers(worker).filter(run => run.state === 'running');
    if (fillers.length === 0) return;
    const groups = getServingGroups(worker);
    const left = new Map(groups.map(group => [group, this.getBudget(group, at)]));
    fillers.sort((a, b) => b.percent - a.percent || a.startedAt - b.startedAt);
    for (const run of fillers) {
      const {image, need} = run.task.step;
      const filling = {share: need.processors / worker.capacity.processors, image};
      let share = 1;
      for (const [group, budget] of left) {
        share = Math.min(share, budget / this.interference.getPressure(group, filling, at));
      }
      const pace = this.round(share * 100);
      for (const [group, budget] of left) {
        const used = (this.interference.getPressure(group, filling, at) * pace) / 100;
        left.set(group, Math.max(0, budget - used));
      }
      this.setPace(run, pace);
      this.checkSlow(run, at);
    }
  }

  private getBudget(group: ServingGroup, at: number): number {
    if (group.tailMs >= group.targetMs * this.options.highShare) return 0;
    return this.interference.getBudget(group, at);
  }

  private round(pace: number): number {
    return pace < this.options.lowestPace ? 0 : Math.round(pace);
  }

  private setPace(run: Run, pace: number): void {
    const isLimit = pace === 0 || pace === 100;
    const change = Math.abs(pace - run.pace);
    if (change === 0 || (!isLimit && change < this.options.smallestChange)) return;
    this.orders.pace(run, pace, pace < run.pace ? 'serving-task-near-target' : 'room-to-target');
  }

  private checkSlow(run: Run, at: number): void {
    const {slowPace, moveAfterMs} = this.options;
    if (run.pace >= slowPace) {
      this.slowSince.delete(run);
      return;
    }
    const since = this.slowSince.get(run) ?? at;
    this.slowSince.set(run, since);
    if (at - since < moveAfterMs) return;
    // Without a checkpoint the work would be lost.
    if (!run.task.step.checkpoints && !this.hasBetterPlace(run, at)) return;
    this.slowSince.delete(run);
    this.orders.stop(run, 'too-little-room-beside-serving', at);
  }

  private hasBetterPlace(run: Run, at: number): boolean {
    const {need} = run.task.step;
    for (const worker of this.state.workers.values()) {
      if (worker === run.worker || !worker.isOpen(at, this.state.timing.unreachableMs)) continue;
      if (worker.description.service !== run.worker.description.service) continue;
      const outlook = this.outlooks.get(worker, at);
      if (outlook.unusedCores < need.processors) continue;
      if (outlook.getTakenShare(run.task.step) <= 1) return true;
    }
    return false;
  }
}

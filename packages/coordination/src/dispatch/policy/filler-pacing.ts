import type {DispatchState} from '../dispatch-state.js';
import type {RunOrders} from '../run-orders.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import {getFillers, getServing, type Interference} from './interference.js';

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
  moveAfterMs: 1_500,
  slowPace: 30,
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
    options: Partial<FillerPacingOptions> = {},
  ) {
    this.options = {...defaultOptions, ...options};
  }

  /** Looks at the newest measurements of a worker. */
  check(worker: WorkerView, at: number): void {
    this.interference.observe(worker, at);
    const fillers = getFillers(worker).filter(run => run.state === 'running');
    if (fillers.length === 0) return;
    let budget = this.isOverTarget(worker) ? 0 : this.interference.getBudget(worker, at);
    fillers.sort((a, b) => b.percent - a.percent || a.startedAt - b.startedAt);
    for (const run of fillers) {
      const pressure = this.interference.getPressure(run.task.step.image, at);
      const pace = this.round(Math.min(1, budget / pressure) * 100);
      budget = Math.max(0, budget - (pressure * pace) / 100);
      this.setPace(run, pace, at);
      this.checkSlow(run, at);
    }
  }

  private round(pace: number): number {
    return pace < this.options.lowestPace ? 0 : Math.round(pace);
  }

  private setPace(run: Run, pace: number, at: number): void {
    const isLimit = pace === 0 || pace === 100;
    const change = Math.abs(pace - run.pace);
    if (change === 0 || (!isLimit && change < this.options.smallestChange)) return;
    this.orders.pace(run, pace, pace < run.pace ? 'serving-task-near-target' : 'room-to-target');
    this.interference.change(run.worker, at);
  }

  private checkSlow(run: Run, at: number): void {
    const {slowPace, moveAfterMs} = this.options;
    if (run.pace >= slowPace) {
      this.slowSince.delete(run);
      return;
    }
    const since = this.slowSince.get(run) ?? at;
    this.slowSince.set(run, since);
    if (at - since < moveAfterMs || !this.hasBetterPlace(run, at)) return;
    this.slowSince.delete(run);
    this.orders.stop(run, 'too-little-room-beside-serving', at);
  }

  private hasBetterPlace(run: Run, at: number): boolean {
    const {need, image} = run.task.step;
    const pressure = this.interference.getPressure(image, at);
    for (const worker of this.state.workers.values()) {
      if (worker === run.worker || !worker.isOpen(at, this.state.timing.unreachableMs)) continue;
      if (worker.description.service !== run.worker.description.service) continue;
      const left =
        this.interference.getBudget(worker, at) - this.interference.getPressureOn(worker, at);
      if (left >= pressure && getUnusedCores(worker) >= need.processors) return true;
    }
    return false;
  }

  private isOverTarget(worker: WorkerView): boolean {
    return getServing(worker).some(
      run => run.figure >= (run.task.step.tailTargetMs ?? 0) * this.options.highShare,
    );
  }
}

/** Part of its reserved processors that a serving task uses at most times. */
const servingUse = 0.6;

/** Processors of a worker that nothing is expected to use. */
export function getUnusedCores(worker: WorkerView): number {
  let unused = worker.capacity.processors - worker.used.processors - worker.fillLoad;
  for (const run of getServing(worker)) unused += run.task.step.need.processors * (1 - servingUse);
  return unused;
}

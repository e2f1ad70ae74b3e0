import type {RunOrders} from '../run-orders.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';

/** Limits of `FillerPacing`. */
export interface FillerPacingOptions {
  /** Part of its target from which a serving task counts as disturbed. */
  readonly highShare: number;
  /** Part of its target below which filling tasks may go faster. */
  readonly lowShare: number;
  /** Time in milliseconds until a change of pace shows in the measurements. */
  readonly settleMs: number;
  /** Time in milliseconds below `lowShare` before the pace is raised. */
  readonly calmMs: number;
  /** Time in milliseconds at pace 0 after which filling tasks are moved away. */
  readonly moveAfterMs: number;
}

const defaultOptions: FillerPacingOptions = {
  highShare: 0.85,
  lowShare: 0.55,
  // Half a second of measurement, and the time until a pace takes effect.
  settleMs: 700,
  calmMs: 1_500,
  moveAfterMs: 2_000,
};

/** Paces of filling tasks in percent, in the order in which they are reduced. */
const paces = [100, 50, 20, 0];

interface Pressure {
  changedAt: number;
  calmSince: number;
  stoppedSince: number;
}

/**
 * Keeps filling tasks from disturbing the serving tasks beside them: they are paced down first, and moved when
 * a pace of 0 was needed for a while.
 */
export class FillerPacing {
  private readonly options: FillerPacingOptions;
  private readonly pressures = new WeakMap<WorkerView, Pressure>();

  constructor(
    private readonly orders: RunOrders,
    options: Partial<FillerPacingOptions> = {},
  ) {
    this.options = {...defaultOptions, ...options};
  }

  /** Looks at the newest measurements of a worker. */
  check(worker: WorkerView, at: number): void {
    const fillers: Run[] = [];
    let worst = 0;
    for (const run of worker.runs.values()) {
      const {step} = run.task;
      if (run.state !== 'running') continue;
      if (step.fills) fillers.push(run);
      else if (step.lasting && step.tailTargetMs !== undefined) {
        worst = Math.max(worst, run.figure / step.tailTargetMs);
      }
    }
    if (fillers.length === 0) return;
    const {highShare, lowShare, settleMs, calmMs, moveAfterMs} = this.options;
    const pressure = this.getPressure(worker, at);
    if (worst >= lowShare) pressure.calmSince = at;
    const isSettled = at - pressure.changedAt >= settleMs;
    if (worst >= highShare && isSettled) {
      // Far above the target there is no time for steps.
      this.reduce(fillers, worst >= 1 ? 0 : undefined, pressure, at);
    } else if (worst < lowShare && at - pressure.calmSince >= calmMs && isSettled) {
      this.raise(fillers, pressure, at);
    }
    const isStopped = fillers.every(run => run.pace === 0);
    if (!isStopped) pressure.stoppedSince = Number.POSITIVE_INFINITY;
    else pressure.stoppedSince = Math.min(pressure.stoppedSince, at);
    if (isStopped && at - pressure.stoppedSince >= moveAfterMs) {
      pressure.stoppedSince = Number.POSITIVE_INFINITY;
      for (const run of fillers) {
        run.task.avoided.add(worker.life);
        this.orders.stop(run, 'disturbs-serving-task', at);
      }
    }
  }

  private reduce(
    fillers: readonly Run[],
    lowest: number | undefined,
    pressure: Pressure,
    at: number,
  ): void {
    for (const run of fillers) {
      const pace = lowest ?? paces.find(candidate => candidate < run.pace) ?? 0;
      if (pace >= run.pace) continue;
      this.orders.pace(run, pace, 'serving-task-near-target');
      pressure.changedAt = at;
    }
  }

  private raise(fillers: readonly Run[], pressure: Pressure, at: number): void {
    const [run] = [...fillers].sort((a, b) => a.pace - b.pace);
    if (run === undefined || run.pace >= 100) return;
    const pace = [...paces].reverse().find(candidate => candidate > run.pace) ?? 100;
    this.orders.pace(run, pace, 'serving-task-below-target');
    pressure.changedAt = at;
    pressure.calmSince = at;
  }

  private getPressure(worker: WorkerView, at: number): Pressure {
    let pressure = this.pressures.get(worker);
    if (pressure === undefined) {
      pressure = {
        changedAt: Number.NEGATIVE_INFINITY,
        calmSince: at,
        stoppedSince: Number.POSITIVE_INFINITY,
      };
      this.pressures.set(worker, pressure);
    }
    return pressure;
  }
}

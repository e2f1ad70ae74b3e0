import type {DispatchState} from '../dispatch-state.js';
import type {RunCommands} from '../run-commands.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import {
  getFillers,
  getServingGroups,
  type InterferenceModel,
  measurementAgeMs,
  type ServingGroup,
} from './interference-model.js';
import {commandMs, TargetWatch} from './target-watch.js';
import type {WorkerHeadroomCache} from './worker-headroom.js';

/** Workers report the processors in use in thousandths of a core. */
const millicoresPerCore = 1_000;
/** Share of its processors from which an adopted run without serving tasks beside it is taken to run at full pace. */
const unpacedShare = 0.5;

/** Limits of `FillerPacer`. */
export interface FillerPacingOptions {
  /** Smallest change of pace, in percentage points, for which a command is sent. */
  readonly minChange: number;
  /** Lowest nonzero pace in percent; a lower value is set to 0, and a task that uses less is taken to be paused. */
  readonly minPace: number;
  /** Tail latency of a serving task, as a fraction of its target, from which all filling tasks beside it are paused. */
  readonly pauseTargetShare: number;
  /** Time in milliseconds at a pace below `slowPace` after which a filling task is stopped, to restart elsewhere. */
  readonly moveAfterMs: number;
  /** Pace in percent below which a filling task makes too little progress. */
  readonly slowPace: number;
}

const defaultOptions: FillerPacingOptions = {
  minChange: 15,
  minPace: 10,
  pauseTargetShare: 0.9,
  moveAfterMs: 1_200,
  slowPace: 40,
};

/**
 * Throttles filling tasks so that the serving tasks on the same worker keep their latency targets. Filling tasks
 * share the pressure budget of the serving tasks, those with the most progress first. A filling task that makes too
 * little progress is stopped, so that it can restart on a worker with more headroom.
 */
export class FillerPacer {
  private readonly options: FillerPacingOptions;
  private readonly targetWatch: TargetWatch;
  private readonly slowSinceByRun = new WeakMap<Run, number>();

  constructor(
    private readonly state: DispatchState,
    private readonly commands: RunCommands,
    private readonly interference: InterferenceModel,
    private readonly headrooms: WorkerHeadroomCache,
    options: Partial<FillerPacingOptions> = {},
  ) {
    this.options = {...defaultOptions, ...options};
    this.targetWatch = new TargetWatch(state.timing);
  }

  /** Adjusts the pace of each filling task on a worker to the worker's latest measurements. */
  update(worker: WorkerView, at: number): void {
    this.interference.observe(worker, at);
    this.targetWatch.observe(worker, at);
    const fillers = getRunningFillers(worker);
    if (fillers.length === 0) return;
    if (worker.mustPauseFillers(at)) {
      this.pauseFillers(worker, at);
      return;
    }
    const groups = getServingGroups(worker);
    const budgets = new Map(groups.map(group => [group, this.getBudget(group, at)]));
    fillers.sort((a, b) => b.percent - a.percent || a.startedAt - b.startedAt);
    for (const run of fillers) {
      const {image, need} = run.task.step;
      const filling = {coreShare: need.processors / worker.capacity.processors, image};
      let paceFactor = 1;
      for (const [group, budget] of budgets) {
        paceFactor = Math.min(
          paceFactor,
          budget / this.interference.getPressure(group, filling, at),
        );
      }
      const pace = this.roundPace(paceFactor * 100);
      for (const [group, budget] of budgets) {
        const used = (this.interference.getPressure(group, filling, at) * pace) / 100;
        budgets.set(group, Math.max(0, budget - used));
      }
      this.setPace(run, pace, at);
      this.stopIfSlow(run, at);
    }
  }

  /** Pauses the filling tasks on a worker when its serving tasks have been over their targets for too long. */
  pauseFillers(worker: WorkerView, at: number): void {
    if (!worker.mustPauseFillers(at)) return;
    for (const run of getRunningFillers(worker)) {
      if (run.pace > 0) this.commands.pace(run, 0, 'serving-task-over-target', at);
      else this.repeatPause(run, at);
      this.stopIfSlow(run, at);
    }
  }

  private getBudget(group: ServingGroup, at: number): number {
    if (group.tailMs >= group.targetMs * this.options.pauseTargetShare) return 0;
    return this.interference.getPressureBudget(group, at);
  }

  private roundPace(pace: number): number {
    return pace < this.options.minPace ? 0 : Math.round(pace);
  }

  private setPace(run: Run, pace: number, at: number): void {
    const isLimit = pace === 0 || pace === 100;
    if (run.isPaceUnsure && this.mayBePaced(run)) {
      this.commands.pace(run, pace, 'pace-of-previous-owner', at);
      return;
    }
    const change = Math.abs(pace - run.pace);
    if (pace === 0 && change === 0) this.repeatPause(run, at);
    if (change === 0 || (!isLimit && change < this.options.minChange)) return;
    const reason = pace < run.pace ? 'serving-task-near-target' : 'room-to-target';
    this.commands.pace(run, pace, reason, at);
  }

  /** Pauses a filling task again that works on after a pause: pace commands have no result, so one may be lost. */
  private repeatPause(run: Run, at: number): void {
    const {worker, pacedAt, measurement, task} = run;
    if (worker.listedAt - pacedAt < commandMs + measurementAgeMs) return;
    const usedCores = measurement / millicoresPerCore;
    if (usedCores * 100 < task.step.need.processors * this.options.minPace) return;
    this.commands.pace(run, 0, 'pause-without-effect', at);
  }

  /** Whether a previous owner may have slowed the run down: it is beside a serving task, or uses few of its processors. */
  private mayBePaced(run: Run): boolean {
    const usedCores = run.measurement / millicoresPerCore;
    if (usedCores < run.task.step.need.processors * unpacedShare) return true;
    return getServingGroups(run.worker).length > 0;
  }

  private stopIfSlow(run: Run, at: number): void {
    const {slowPace, moveAfterMs} = this.options;
    if (run.pace >= slowPace) {
      this.slowSinceByRun.delete(run);
      return;
    }
    const since = this.slowSinceByRun.get(run) ?? at;
    this.slowSinceByRun.set(run, since);
    if (at - since < moveAfterMs) return;
    // Stopping a task without checkpoints loses its work, so there must be a better worker for it.
    if (!run.task.step.checkpoints && !this.hasBetterWorker(run, at)) return;
    this.slowSinceByRun.delete(run);
    this.commands.stop(run, 'too-little-room-beside-serving', at);
  }

  private hasBetterWorker(run: Run, at: number): boolean {
    const {need} = run.task.step;
    for (const worker of this.state.workers.values()) {
      if (worker === run.worker || !worker.canAcceptTasks(at, this.state.timing.unreachableMs))
        continue;
      if (worker.description.service !== run.worker.description.service) continue;
      const headroom = this.headrooms.get(worker, at);
      if (headroom.unusedCores < need.processors) continue;
      if (headroom.getHeadroomUse(run.task.step) <= 1) return true;
    }
    return false;
  }
}

function getRunningFillers(worker: WorkerView): Run[] {
  return getFillers(worker).filter(run => run.state === 'running');
}

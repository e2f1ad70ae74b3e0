import {getEstimateMs} from '../../submissions/index.js';
import type {DispatchState} from '../dispatch-state.js';
import type {WorkerSelector} from '../placement/worker-selector.js';
import type {RunCommands} from '../run-commands.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';

/** Time in milliseconds without progress, on a reporting worker, after which a run is stalled. */
const stallMs = 2_000;
/** The same for filling tasks, which make little progress while few processors are unused. */
const fillerStallMs = 6_000;

/** Minimum age in milliseconds of a straggler, and minimum progress in percent for extrapolating its run time. */
const minStragglerAgeMs = 1_200;
const minExtrapolationPercent = 3;

/** A straggler is replaced when its remaining time exceeds this multiple of a restart's run time plus this margin. */
const minMoveSpeedup = 2;
const minMoveGainMs = 800;

/** Multiple of its expected run time from which a run can be a straggler. */
const stragglerRatio = 1.5;

/** Weight of the latest run time in a worker's slowness, and the rate per second at which slowness decays to 1. */
const slownessWeight = 0.3;
const slownessDecayPerSecond = 0.03;
/** Time in milliseconds between two checks of all runs. */
const checkIntervalMs = 500;

/** Supervises runs: stops stalled ones, moves or duplicates stragglers, and evicts runs from draining workers. */
export class RunSupervisor {
  private checkedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly state: DispatchState,
    private readonly commands: RunCommands,
    private readonly createSelector: (at: number) => WorkerSelector,
  ) {}

  /**
   * Updates the worker's slowness, in which a ratio above 10 counts as 10, and the queue's run-time factor, from which
   * the worker's slowness is divided out. Ignores serving, filling and resumed runs, those that began on a cold worker, and
   * adopted ones, whose start is not known.
   */
  recordRunTime(run: Run, at: number): void {
    const {task, worker} = run;
    if (task.step.lasting || task.step.fills || run.checkpoint !== '') return;
    if (hasBegunCold(run) || run.adoptedPercent !== undefined) return;
    const {queue} = task.submission;
    const actualMs = at - run.startedAt;
    const expectedMs = this.getExpectedMs(run);
    worker.slowness += slownessWeight * (Math.min(10, actualMs / expectedMs) - worker.slowness);
    this.state.observeRunTime(
      queue,
      getEstimateMs(task.step),
      actualMs / Math.max(1, worker.slowness),
    );
  }

  /** Checks all runs; does nothing when the last check was less than `checkIntervalMs` ago. */
  check(at: number): void {
    if (at - this.checkedAt < checkIntervalMs) return;
    this.checkedAt = at;
    let selector: WorkerSelector | undefined;
    const getSelector = () => (selector ??= this.createSelector(at));
    for (const worker of this.state.workers.values()) {
      worker.slowness += ((1 - worker.slowness) * slownessDecayPerSecond * checkIntervalMs) / 1000;
      if (!worker.isConnected || at - worker.lastContactAt >= this.state.timing.unreachableMs)
        continue;
      for (const run of [...worker.runs.values()]) {
        if (run.state === 'running') this.checkRun(run, worker, getSelector, at);
      }
    }
  }

  /** Estimates the remaining run time in milliseconds, by extrapolation from `minExtrapolationPercent` on. */
  getRemainingMs(run: Run, at: number): number {
    const elapsedMs = at - run.startedAt;
    const {adoptedPercent = 0} = run;
    const progress = run.percent - adoptedPercent;
    if (progress < minExtrapolationPercent) {
      const leftMs = (this.getExpectedMs(run) * (100 - adoptedPercent)) / 100;
      return Math.max(0, leftMs - elapsedMs);
    }
    return (elapsedMs * (100 - run.percent)) / progress;
  }

  private checkRun(
    run: Run,
    worker: WorkerView,
    getSelector: () => WorkerSelector,
    at: number,
  ): void {
    if (worker.isDraining && this.shouldEvict(run, worker, at)) {
      this.commands.stop(run, 'worker-draining', at);
      return;
    }
    if (run.task.step.lasting && run.percent >= 100) return;
    if (this.isStalled(run, worker)) {
      run.task.avoidedWorkers.add(worker.life);
      this.recordStall(run, worker, at);
      this.commands.stop(run, 'no-progress', at);
      return;
    }
    if (run.task.step.lasting || run.task.step.fills || run.task.step.gang) return;
    if (this.isStraggler(run, at)) this.replaceStraggler(run, worker, getSelector(), at);
  }

  /** Returns the expected run time in milliseconds; at least 50, because run times are divided by it. */
  private getExpectedMs(run: Run): number {
    const {submission, step} = run.task;
    return Math.max(50, getEstimateMs(step) * this.state.getRunTimeFactor(submission.queue));
  }

  /** Whether a run must be moved off a draining worker, because it serves or would not end before the worker leaves. */
  private shouldEvict(run: Run, worker: WorkerView, at: number): boolean {
    if (run.task.step.lasting) return true;
    return at + this.getRemainingMs(run, at) + this.state.timing.stopMs > worker.leavesAt;
  }

  private isStalled(run: Run, worker: WorkerView): boolean {
    if (run.pace === 0) return false;
    const limit = run.task.step.fills ? fillerStallMs : stallMs;
    // Only lists show progress; other messages prove that the worker can be reached, not that the run stands still.
    return worker.listedAt - run.progressAt >= limit;
  }

  private recordStall(run: Run, worker: WorkerView, at: number): void {
    // A filling task may stall just because the worker has no unused processors.
    if (run.task.step.fills) return;
    const {failures, ends} = run.task.submission.getRunEndsElsewhere(worker.life);
    if (!worker.health.recordFailure(failures, ends, at)) return;
    this.state.log({event: 'worker-suspended', worker: worker.life, reason: 'no-progress'});
  }

  private isStraggler(run: Run, at: number): boolean {
    const elapsedMs = at - run.startedAt;
    const overage = hasBegunCold(run) ? this.state.timing.coldOverage : 1;
    const maxMs = stragglerRatio * overage * this.getExpectedMs(run);
    if (elapsedMs < minStragglerAgeMs || elapsedMs < maxMs) return false;
    const {checkpoints} = run.task.step;
    const restartShare = checkpoints ? 1 - run.percent / 100 : 1;
    const restartMs = this.getExpectedMs(run) * restartShare + this.state.timing.restoreMs;
    return this.getRemainingMs(run, at) > restartMs * minMoveSpeedup + minMoveGainMs;
  }

  private replaceStraggler(
    run: Run,
    worker: WorkerView,
    selector: WorkerSelector,
    at: number,
  ): void {
    const {task} = run;
    if (task.runs.length > 1) return;
    const priority = task.submission.queue?.priority ?? 0;
    const newWorker = selector.selectWorker(task, task.group, priority);
    if (newWorker === undefined || newWorker === worker || newWorker.slowness >= worker.slowness)
      return;
    task.avoidedWorkers.add(worker.life);
    if (task.step.speculative) this.commands.start(task, newWorker, at);
    else this.commands.stop(run, 'too-slow', at);
  }
}

function hasBegunCold({startedAt, worker}: Run): boolean {
  return worker.isCold(startedAt);
}

import {getEstimateMs} from '../../submissions/index.js';
import type {DispatchState} from '../dispatch-state.js';
import type {RunOrders} from '../run-orders.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import type {WorkerChoice} from './worker-choice.js';

/** Time in milliseconds without progress, on a worker that reports, after which a run stands still. */
const stallMs = 2_000;
/** Filling runs are slow when little is unused. */
const fillerStallMs = 6_000;

/** Shortest time in milliseconds after which the speed of a run is judged, and the least percent. */
const judgedAfterMs = 1_200;
const judgedPercent = 3;

/** A run is moved when the rest of its time is this multiple of a new run elsewhere, and longer by this. */
const moveRatio = 2;
const moveGainMs = 800;

/** A copy of a run is started when the run takes this multiple of its expected time. */
const copyRatio = 1.5;

/** Weight of the newest run time in the speed of a worker, and of its return to normal each second. */
const slownessWeight = 0.3;
const slownessDecay = 0.03;
/** Time in milliseconds between two looks at all runs. */
const checkMs = 500;

/** Watches running tasks: moves those that stand still or crawl, copies stragglers, empties leaving workers. */
export class RunSupervision {
  private checkedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly state: DispatchState,
    private readonly orders: RunOrders,
    private readonly createChoice: (at: number) => WorkerChoice,
  ) {}

  /** Records the run time of a finished run. */
  finish(run: Run, at: number): void {
    const {task, worker} = run;
    if (task.step.lasting || task.step.fills || run.checkpoint !== '') return;
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

  /** Looks at all runs. */
  check(at: number): void {
    if (at - this.checkedAt < checkMs) return;
    this.checkedAt = at;
    const choice = this.createChoice(at);
    for (const worker of this.state.workers.values()) {
      worker.slowness += ((1 - worker.slowness) * slownessDecay * checkMs) / 1000;
      if (!worker.isConnected || at - worker.heardAt >= this.state.timing.unreachableMs) continue;
      for (const run of [...worker.runs.values()]) {
        if (run.state === 'running') this.checkRun(run, worker, choice, at);
      }
    }
  }

  private checkRun(run: Run, worker: WorkerView, choice: WorkerChoice, at: number): void {
    if (worker.isDraining && this.mustLeave(run, worker, at)) {
      this.orders.stop(run, 'worker-draining', at);
      return;
    }
    if (run.task.step.lasting && run.percent >= 100) return;
    if (this.isStalled(run, worker)) {
      run.task.avoided.add(worker.life);
      this.suspect(run, worker, at);
      this.orders.stop(run, 'no-progress', at);
      return;
    }
    if (run.task.step.lasting || run.task.step.fills || run.task.step.gang) return;
    if (this.isCrawling(run, at)) this.replace(run, worker, choice, at);
  }

  /** Time that the run still needs, as far as its progress tells. */
  private getRemainingMs(run: Run, at: number): number {
    const elapsed = at - run.startedAt;
    if (run.percent < judgedPercent) return Math.max(0, this.getExpectedMs(run) - elapsed);
    return (elapsed * (100 - run.percent)) / run.percent;
  }

  private getExpectedMs(run: Run): number {
    const {submission, step} = run.task;
    return Math.max(50, getEstimateMs(step) * this.state.getRunTimeFactor(submission.queue));
  }

  /** A run leaves a draining worker when it would not end in time; serving tasks leave at once. */
  private mustLeave(run: Run, worker: WorkerView, at: number): boolean {
    if (run.task.step.lasting) return true;
    return at + this.getRemainingMs(run, at) + this.state.timing.stopMs > worker.leavesAt;
  }

  private isStalled(run: Run, worker: WorkerView): boolean {
    if (run.pace === 0) return false;
    const limit = run.task.step.fills ? fillerStallMs : stallMs;
    return worker.heardAt - run.progressAt >= limit;
  }

  private suspect(run: Run, worker: WorkerView, at: number): void {
    // A filling task may stand still because nothing is left unused.
    if (run.task.step.fills) return;
    const {failures, ends} = run.task.submission.getEndsElsewhere(worker.life);
    if (!worker.health.fail(failures, ends, at)) return;
    this.state.log({event: 'worker-suspended', worker: worker.life, reason: 'no-progress'});
  }

  private isCrawling(run: Run, at: number): boolean {
    const elapsed = at - run.startedAt;
    if (elapsed < judgedAfterMs || elapsed < copyRatio * this.getExpectedMs(run)) return false;
    const {checkpoints} = run.task.step;
    const rest = checkpoints ? 1 - run.percent / 100 : 1;
    const againMs = this.getExpectedMs(run) * rest + this.state.timing.restoreMs;
    return this.getRemainingMs(run, at) > againMs * moveRatio + moveGainMs;
  }

  private replace(run: Run, worker: WorkerView, choice: WorkerChoice, at: number): void {
    const {task} = run;
    if (task.runs.length > 1) return;
    const priority = task.submission.queue?.priority ?? 0;
    const occurrence = task.submission.occurrences.find(each => each.index === task.occurrence);
    const group = occurrence?.steps[task.stepIndex];
    if (group === undefined) return;
    const other = choice.choose(task, group, priority);
    if (other === undefined || other === worker || other.slowness >= worker.slowness) return;
    task.avoided.add(worker.life);
    if (task.step.speculative) this.orders.start(task, other, at);
    else this.orders.stop(run, 'too-slow', at);
  }
}

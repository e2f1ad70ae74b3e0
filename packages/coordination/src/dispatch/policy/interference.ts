import {DisturbanceModel} from '../../colocation/disturbance-model.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';

/** Key under which the model keeps all serving tasks: a filling image disturbs all of them alike. */
const allServing = 'serving';

/** Part of its target that the tail latency of an unloaded serving task is assumed to be until it is measured. */
const unloadedShare = 0.2;
/** Part of the lowest measured tail latency that would remain without any load. */
const lowestTailShare = 0.8;
/** Part of its target that a serving task may reach by the tasks beside it. */
const targetShare = 0.75;
/** Bounds of a load that is derived from a tail latency. */
const lowestLoad = 0.05;
const highestLoad = 0.97;
/** Time in milliseconds for which the load is extrapolated; a filling task is paced down within it. */
const foresightMs = 800;
/** Time in milliseconds after a change of the filling tasks before measurements show it. */
const settleMs = 700;
/** Age in milliseconds of the measurement of another task of the same step that still counts. */
const siblingAgeMs = 1_200;

interface ServingLoad {
  /** Load without the filling tasks beside it. */
  load: number;
  /** Change of the load in a millisecond. */
  slope: number;
  measuredAt: number;
}

/**
 * Learns how much filling tasks disturb serving tasks, and tells how many more a worker bears. The tail latency
 * of a serving task grows as `base / (1 - load)`; each filling task beside it multiplies the load by
 * `1 + pressure`, and the pressure is learned for each image.
 */
export class Interference {
  readonly model = new DisturbanceModel();
  private readonly lowestTails = new Map<string, number>();
  private readonly loads = new WeakMap<Run, ServingLoad>();
  private readonly changedAt = new WeakMap<WorkerView, number>();

  /** Notes that the filling tasks of a worker or their pace have changed. */
  change(worker: WorkerView, at: number): void {
    this.changedAt.set(worker, at);
  }

  /** Takes in the newest measurements of a worker. */
  observe(worker: WorkerView, at: number): void {
    const pressure = getPresence(worker);
    const isSettled = at - (this.changedAt.get(worker) ?? 0) >= settleMs;
    for (const run of getServing(worker)) {
      if (run.figure <= 0 || run.percent < 100) continue;
      this.learnBase(run);
      const measured = this.getMeasuredLoad(run);
      const sibling = isSettled && pressure.size > 0 ? this.getSiblingLoad(run, at) : undefined;
      if (sibling !== undefined) {
        this.model.observe(allServing, pressure, Math.exp(measured / sibling - 1), at);
      }
      const load = sibling ?? measured / (1 + this.getPressureOn(worker, at));
      this.setLoad(run, load, at);
    }
  }

  /** Pressure of one filling task of an image at full pace. */
  getPressure(image: string | undefined, at: number): number {
    return Math.max(0.01, this.model.getMean(allServing, image ?? '', at));
  }

  /** Sum of the pressures of all filling tasks on a worker at their present pace. */
  getPressureOn(worker: WorkerView, at: number): number {
    let sum = 0;
    for (const [image, amount] of getPresence(worker)) sum += amount * this.getPressure(image, at);
    return sum;
  }

  /** Pressure that the serving tasks of a worker bear; infinite without serving tasks. */
  getBudget(worker: WorkerView, at: number): number {
    let budget = Number.POSITIVE_INFINITY;
    for (const run of getServing(worker)) {
      const target = run.task.step.tailTargetMs ?? 0;
      const limit = 1 - this.getBase(run) / (target * targetShare);
      const known = this.loads.get(run);
      // A task that has not been measured yet may be at its peak.
      const load = known ? known.load + Math.max(0, known.slope) * foresightMs : limit;
      budget = Math.min(budget, limit / Math.max(lowestLoad, load) - 1);
    }
    return Math.max(0, budget);
  }

  private learnBase(run: Run): void {
    const image = run.task.step.image ?? '';
    const lowest = this.lowestTails.get(image);
    if (lowest === undefined || run.figure < lowest) this.lowestTails.set(image, run.figure);
  }

  private getBase(run: Run): number {
    const target = run.task.step.tailTargetMs ?? 0;
    const lowest = this.lowestTails.get(run.task.step.image ?? '');
    const assumed = target * unloadedShare;
    return lowest === undefined ? assumed : Math.min(assumed * 1.5, lowest * lowestTailShare);
  }

  private getMeasuredLoad(run: Run): number {
    return Math.min(highestLoad, Math.max(lowestLoad, 1 - this.getBase(run) / run.figure));
  }

  /** Load of the tasks of the same step on workers without filling tasks; they share their users. */
  private getSiblingLoad(run: Run, at: number): number | undefined {
    let sum = 0;
    let count = 0;
    const {task} = run;
    const occurrence = task.submission.occurrences.find(each => each.index === task.occurrence);
    for (const sibling of occurrence?.steps[task.stepIndex]?.tasks ?? []) {
      const [other] = sibling.runs;
      if (!other || other === run || other.percent < 100 || other.figure <= 0) continue;
      if (other.worker === run.worker || at - other.worker.heardAt > siblingAgeMs) continue;
      if (getPresence(other.worker).size > 0) continue;
      if (at - (this.changedAt.get(other.worker) ?? 0) < settleMs) continue;
      sum += this.getMeasuredLoad(other);
      count += 1;
    }
    return count > 0 ? sum / count : undefined;
  }

  private setLoad(run: Run, load: number, at: number): void {
    const known = this.loads.get(run);
    if (known === undefined) {
      this.loads.set(run, {load, slope: 0, measuredAt: at});
      return;
    }
    const elapsed = Math.max(1, at - known.measuredAt);
    const slope = (load - known.load) / elapsed;
    known.slope += (slope - known.slope) / 2;
    known.load = load;
    known.measuredAt = at;
  }
}

/** Runs of a worker that serve with a latency target. */
export function getServing(worker: WorkerView): Run[] {
  const serving: Run[] = [];
  for (const run of worker.runs.values()) {
    const {step} = run.task;
    if (step.lasting && !step.fills && step.tailTargetMs !== undefined) serving.push(run);
  }
  return serving;
}

/** Runs of a worker that fill. */
export function getFillers(worker: WorkerView): Run[] {
  const fillers: Run[] = [];
  for (const run of worker.runs.values()) if (run.task.step.fills) fillers.push(run);
  return fillers;
}

/** Number of filling tasks by image, weighted by their pace. */
function getPresence(worker: WorkerView): Map<string, number> {
  const presence = new Map<string, number>();
  for (const run of getFillers(worker)) {
    const image = run.task.step.image ?? '';
    if (run.pace > 0) presence.set(image, (presence.get(image) ?? 0) + run.pace / 100);
  }
  return presence;
}

import type {Step} from '../../submissions/index.js';
import type {StepTasks} from '../active-submission.js';
import type {DispatchState} from '../dispatch-state.js';
import type {Task} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import type {InterferenceModel} from './interference-model.js';
import {getImagePairKey, type WorkerHeadroom, type WorkerHeadroomCache} from './worker-headroom.js';

/** Rounding error of sums of cores. */
const coreTolerance = 1e-6;

/** Part of a worker's cores that only urgent work that ends may take, so that it starts at once in a flood. */
export const urgentReserveShare = 0.05;

/** Part of its processors that a filling task must find unused. */
const minUnusedShare = 0.4;

/** Costs of a place; the place with the lowest sum is taken. */
const costs = {
  /** The task has failed or stood still there before. */
  avoided: 1_000,
  /** The newest runs there have failed. */
  doubtful: 100,
  /** For each multiple of the usual run time. */
  slowness: 20,
  /** The data is on another rack, or other tasks of the step are. */
  otherRack: 5,
  /** A filling task beside a serving one, and for the part of the bearable pressure that it takes. */
  besideServing: 2,
  /** A serving task beside filling ones, for each of them. */
  besideFills: 0.3,
  /** A serving task on a worker without others: they are kept together, so that others stay free to fill. */
  firstServing: 6,
  /** A serving task beside serving tasks of other images only: filling work suits few images. */
  otherImage: 1.5,
  /** Free part of the worker's cores: full workers first keep room for large tasks. */
  free: 1,
};

/** Chooses workers for tasks. It answers scattered free room, slow and failing workers, and interference. */
export class WorkerSelector {
  private readonly openWorkers: WorkerView[];
  /** Pairs of images that are being tried somewhere. */
  private readonly probedPairs = new Set<string>();

  constructor(
    private readonly state: DispatchState,
    private readonly interference: InterferenceModel,
    private readonly headrooms: WorkerHeadroomCache,
    private readonly at: number,
  ) {
    const {unreachableMs} = state.timing;
    for (const worker of state.workers.values()) this.recordProbes(worker);
    this.openWorkers = [...state.workers.values()].filter(worker => {
      if (!worker.canAcceptTasks(at, unreachableMs) || worker.health.isSuspended(at)) return false;
      return !worker.health.isOnProbation(at) || !hasFiniteRuns(worker);
    });
  }

  /** Number of workers that may take tasks. */
  get size(): number {
    return this.openWorkers.length;
  }

  /** Notes that a task was placed on a worker. */
  recordPlacement(worker: WorkerView): void {
    this.recordProbes(worker);
  }

  /** Returns the best worker for a task, or undefined when none has room. */
  selectWorker(task: Task, group: StepTasks, priority: number): WorkerView | undefined {
    let best: WorkerView | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const worker of this.openWorkers) {
      if (!this.isEligible(worker, task, group, priority)) continue;
      const cost = this.getCost(worker, task, group);
      if (cost < bestCost) {
        best = worker;
        bestCost = cost;
      }
    }
    return best;
  }

  private isEligible(worker: WorkerView, task: Task, group: StepTasks, priority: number): boolean {
    const {description, capacity, used} = worker;
    const {step} = task;
    if (description.service !== task.submission.service) return false;
    if (step.label !== undefined && !description.labels.includes(step.label)) return false;
    if (task.runs.some(run => run.worker === worker)) return false;
    if (used.memoryMb + step.need.memoryMb > capacity.memoryMb) return false;
    if (used.accelerators + step.need.accelerators > capacity.accelerators) return false;
    const free = capacity.processors - used.processors + coreTolerance;
    if (step.fills) {
      const headroom = this.headrooms.get(worker, this.at);
      if (headroom.unusedCores < step.need.processors * minUnusedShare) return false;
      if (headroom.getHeadroomUse(step) > 1) return false;
      if (this.isPairProbed(headroom, step.image)) return false;
    } else {
      const isReserved = priority > 0 || step.lasting;
      const reserve = isReserved ? capacity.processors * urgentReserveShare : 0;
      if (free - reserve < step.need.processors) return false;
    }
    if (step.spreadLimit !== undefined) {
      if (countRuns(worker, group) >= step.spreadLimit) return false;
    }
    return !worker.health.isOnProbation(this.at) || !hasFiniteRuns(worker);
  }

  /** An unknown pair of images is tried by one task at a time, so that a bad one harms few serving tasks. */
  private isPairProbed(headroom: WorkerHeadroom, filling: string | undefined): boolean {
    return headroom.groups.some(
      ({image}) =>
        this.probedPairs.has(getImagePairKey(image, filling)) &&
        !this.interference.isKnown(image, filling, this.at),
    );
  }

  private recordProbes(worker: WorkerView): void {
    for (const pair of this.headrooms.get(worker, this.at).unmeasuredPairs)
      this.probedPairs.add(pair);
  }

  private getCost(worker: WorkerView, task: Task, group: StepTasks): number {
    const {step} = task;
    const {processors} = worker.capacity;
    let cost = 0;
    if (task.avoidedWorkers.has(worker.life)) cost += costs.avoided;
    if (worker.health.isSuspect) cost += costs.doubtful;
    cost += Math.max(0, worker.slowness - 1) * costs.slowness;
    if (step.rack !== undefined && step.rack !== worker.description.rack) cost += costs.otherRack;
    if (step.sameRack && !isOnGroupRack(worker, group)) cost += costs.otherRack;
    const free = (processors - worker.used.processors) / Math.max(1, processors);
    if (step.fills || step.lasting) {
      const headroom = this.headrooms.get(worker, this.at);
      if (step.fills) return cost + getFillingCost(worker, headroom, step);
      if (step.tailTargetMs !== undefined) cost += headroom.fillers.length * costs.besideFills;
      const {groups} = headroom;
      if (groups.length === 0) cost += costs.firstServing;
      else if (!groups.some(group => group.image === step.image)) cost += costs.otherImage;
    }
    return cost + free * costs.free;
  }
}

/** Cost of a place for a filling task: little is unused, or serving tasks beside it bear little. */
function getFillingCost(worker: WorkerView, headroom: WorkerHeadroom, step: Step): number {
  const cost = -headroom.unusedCores / Math.max(1, worker.capacity.processors);
  if (headroom.groups.length === 0) return cost;
  return cost + costs.besideServing * (1 + headroom.getHeadroomUse(step));
}

/** Whether a worker runs tasks that end by themselves; on probation it gets one of them at a time. */
function hasFiniteRuns(worker: WorkerView): boolean {
  for (const run of worker.runs.values()) if (!run.task.step.lasting) return true;
  return false;
}

function countRuns(worker: WorkerView, group: StepTasks): number {
  let count = 0;
  for (const run of worker.runs.values()) {
    const {task} = run;
    const sameStep = task.stepIndex === group.index && task.occurrence === group.occurrence;
    if (sameStep && task.submission === group.tasks[0]?.submission) count += 1;
  }
  return count;
}

/** Whether the tasks of a step that already run are on the worker's rack; true when none runs. */
function isOnGroupRack(worker: WorkerView, group: StepTasks): boolean {
  for (const task of group.tasks) {
    const [run] = task.runs;
    if (run) return run.worker.description.rack === worker.description.rack;
  }
  return true;
}

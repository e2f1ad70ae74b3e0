import type {Step} from '../../submissions/index.js';
import type {StepTasks} from '../active-submission.js';
import type {DispatchState} from '../dispatch-state.js';
import type {Task} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import type {Interference} from './interference.js';
import {getPairKey, type WorkerOutlook, type WorkerOutlooks} from './worker-outlook.js';

/** Rounding error of sums of cores. */
const coreTolerance = 1e-6;

/** Part of a worker's cores that only urgent work that ends may take, so that it starts at once in a flood. */
export const urgentReserve = 0.05;

/** Part of its processors that a filling task must find unused. */
const fillShare = 0.4;

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
export class WorkerChoice {
  private readonly open: WorkerView[];
  /** Pairs of images that are being tried somewhere. */
  private readonly triedPairs = new Set<string>();

  constructor(
    private readonly state: DispatchState,
    private readonly interference: Interference,
    private readonly outlooks: WorkerOutlooks,
    private readonly at: number,
  ) {
    const {unreachableMs} = state.timing;
    for (const worker of state.workers.values()) this.noteTrials(worker);
    this.open = [...state.workers.values()].filter(worker => {
      if (!worker.isOpen(at, unreachableMs) || worker.health.isSuspended(at)) return false;
      return !worker.health.isOnProbation(at) || !hasPassingRuns(worker);
    });
  }

  /** Number of workers that may take tasks. */
  get size(): number {
    return this.open.length;
  }

  /** Notes that a task was placed on a worker. */
  notePlaced(worker: WorkerView): void {
    this.noteTrials(worker);
  }

  /** Returns the best worker for a task, or undefined when none has room. */
  choose(task: Task, group: StepTasks, priority: number): WorkerView | undefined {
    let best: WorkerView | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const worker of this.open) {
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
      const outlook = this.outlooks.get(worker, this.at);
      if (outlook.unusedCores < step.need.processors * fillShare) return false;
      if (outlook.getTakenShare(step) > 1) return false;
      if (this.isBeingTried(outlook, step.image)) return false;
    } else {
      const isReserved = priority > 0 || step.lasting;
      const reserve = isReserved ? capacity.processors * urgentReserve : 0;
      if (free - reserve < step.need.processors) return false;
    }
    if (step.spreadLimit !== undefined) {
      if (countRuns(worker, group) >= step.spreadLimit) return false;
    }
    return !worker.health.isOnProbation(this.at) || !hasPassingRuns(worker);
  }

  /** An unknown pair of images is tried by one task at a time, so that a bad one harms few serving tasks. */
  private isBeingTried(outlook: WorkerOutlook, filling: string | undefined): boolean {
    return outlook.groups.some(
      ({image}) =>
        this.triedPairs.has(getPairKey(image, filling)) &&
        !this.interference.isKnown(image, filling, this.at),
    );
  }

  private noteTrials(worker: WorkerView): void {
    for (const pair of this.outlooks.get(worker, this.at).triedPairs) this.triedPairs.add(pair);
  }

  private getCost(worker: WorkerView, task: Task, group: StepTasks): number {
    const {step} = task;
    const {processors} = worker.capacity;
    let cost = 0;
    if (task.avoided.has(worker.life)) cost += costs.avoided;
    if (worker.health.isDoubtful) cost += costs.doubtful;
    cost += Math.max(0, worker.slowness - 1) * costs.slowness;
    if (step.rack !== undefined && step.rack !== worker.description.rack) cost += costs.otherRack;
    if (step.sameRack && !isOnRackOf(worker, group)) cost += costs.otherRack;
    const free = (processors - worker.used.processors) / Math.max(1, processors);
    if (step.fills || step.lasting) {
      const outlook = this.outlooks.get(worker, this.at);
      if (step.fills) return cost + getFillingCost(worker, outlook, step);
      if (step.tailTargetMs !== undefined) cost += outlook.fillers.length * costs.besideFills;
      const {groups} = outlook;
      if (groups.length === 0) cost += costs.firstServing;
      else if (!groups.some(group => group.image === step.image)) cost += costs.otherImage;
    }
    return cost + free * costs.free;
  }
}

/** Cost of a place for a filling task: little is unused, or serving tasks beside it bear little. */
function getFillingCost(worker: WorkerView, outlook: WorkerOutlook, step: Step): number {
  const cost = -outlook.unusedCores / Math.max(1, worker.capacity.processors);
  if (outlook.groups.length === 0) return cost;
  return cost + costs.besideServing * (1 + outlook.getTakenShare(step));
}

/** Whether a worker runs tasks that end by themselves; on probation it gets one of them at a time. */
function hasPassingRuns(worker: WorkerView): boolean {
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
function isOnRackOf(worker: WorkerView, group: StepTasks): boolean {
  for (const task of group.tasks) {
    const [run] = task.runs;
    if (run) return run.worker.description.rack === worker.description.rack;
  }
  return true;
}

import type {Step} from '../../submissions/index.js';
import type {StepTasks} from '../step-tasks.js';
import type {DispatchState} from '../dispatch-state.js';
import type {InterferenceModel} from '../interference/interference-model.js';
import {
  getImagePairKey,
  type HeadroomSource,
  type WorkerHeadroom,
} from '../interference/worker-headroom.js';
import type {Task} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import type {AdviceTickets} from './advice-tickets.js';
import type {RoomReservations} from './room-reservations.js';
import {SuspectIsolation} from './suspect-isolation.js';
import {UnplaceableNeeds} from './unplaceable-needs.js';
import {WorkerRanking} from './worker-ranking.js';
import type {WorkerClosure, WorkerRefusal} from './worker-refusal.js';

/** Tolerance for rounding errors in sums of cores. */
const coreTolerance = 1e-6;

/** Largest number of runs on a worker, which lists all of them in each report; only tasks that need next to nothing reach it. */
const maxWorkerRuns = 500;

/** Share of a worker's cores reserved for finite work of priority 0, so that it starts immediately under overload. */
export const urgentReserveShare = 0.05;

/** Fraction of the processors it needs that a filling task must find unused. */
const minUnusedShare = 0.4;

/** Placement costs; the worker with the lowest sum is selected. */
const costs = {
  /** The task has failed, stalled or been too slow on the worker before. */
  avoided: 1_000,
  /**
   * The worker is cold: above all preferences between sound workers, so that warm ones with room come first, and below
   * `avoided`.
   */
  cold: 900,
  /** Recent runs on the worker have failed. */
  suspect: 100,
  /** Multiplied by how far the worker's slowness exceeds 1. */
  slowness: 20,
  /** The task's data, or other tasks of its step, are on another rack. */
  otherRack: 5,
  /** A filling task beside serving tasks; added again in proportion to the fraction of their headroom that it uses. */
  besideServing: 2,
  /** A serving task with a latency target, for each filling task on the worker. */
  besideFillers: 0.3,
  /** A serving task on a worker without serving tasks: packing them leaves other workers free for filling tasks. */
  firstServing: 6,
  /** A serving task beside serving tasks of other images only: each filling image is compatible with few images. */
  otherImage: 1.5,
  /** Multiplied by the free fraction of the worker's cores: filling up workers first keeps space for large tasks. */
  free: 1,
};

/** The ranking of a step's workers, shared by the tasks of the step. */
interface StepRanking {
  readonly group: StepTasks;
  readonly priority: number;
  readonly ranking: WorkerRanking;
}

/** Options of `WorkerSelector`. */
export interface WorkerSelectorOptions {
  readonly state: DispatchState;
  readonly interference: InterferenceModel;
  readonly headrooms: HeadroomSource;
  readonly reservations: RoomReservations;
  readonly tickets: AdviceTickets;
  /** Time of the placement round. */
  readonly at: number;
}

/**
 * Selects workers for tasks: limits fragmentation and interference, and avoids slow and failing workers. Serves one
 * placement round, within which runs are added but none ends. A round with thousands of waiting tasks examines the
 * workers about once for each step that fits, and not at all for needs that have been found too large.
 */
export class WorkerSelector {
  /** Number of workers examined so far. */
  examinedCount = 0;
  /** Workers that may get new tasks, by service. */
  private readonly openWorkers = new Map<string, WorkerView[]>();
  private readonly isolation: SuspectIsolation;
  private readonly unplaceableNeeds = new UnplaceableNeeds();
  private stepRanking: StepRanking | undefined;
  /** Number of runs on all workers. */
  private runCount = 0;
  /** Unmeasured pairs of images that run together on some worker; collected when the first filling task is placed. */
  private probedPairs: Set<string> | undefined;

  private readonly state: DispatchState;
  private readonly interference: InterferenceModel;
  private readonly headrooms: HeadroomSource;
  private readonly reservations: RoomReservations;
  private readonly tickets: AdviceTickets;
  private readonly at: number;

  constructor(options: WorkerSelectorOptions) {
    this.state = options.state;
    this.interference = options.interference;
    this.headrooms = options.headrooms;
    this.reservations = options.reservations;
    this.tickets = options.tickets;
    this.at = options.at;
    this.isolation = new SuspectIsolation(this.state);
    for (const worker of this.state.workers.values()) {
      this.runCount += worker.runs.size;
      if (this.getClosure(worker) !== undefined) continue;
      const {service} = worker.description;
      const workers = this.openWorkers.get(service);
      if (workers) workers.push(worker);
      else this.openWorkers.set(service, [worker]);
    }
  }

  /** Whether any worker may get new tasks. */
  get hasOpenWorkers(): boolean {
    return this.openWorkers.size > 0;
  }

  /** Whether no more tasks may run at a time. */
  get isRunLimitReached(): boolean {
    return this.runCount >= this.state.timing.maxRuns;
  }

  /** Records that a task was placed on a worker. */
  recordPlacement(worker: WorkerView): void {
    this.runCount += 1;
    this.isolation.update(worker);
    if (this.probedPairs) this.collectProbes(worker, this.probedPairs);
    this.stepRanking?.ranking.markChanged(worker);
  }

  /** Returns the worker with the lowest cost, or undefined when none is eligible. */
  selectWorker(task: Task, group: StepTasks, priority: number): WorkerView | undefined {
    const {service} = task.submission;
    if (this.isRunLimitReached) return undefined;
    // Which workers have tickets differs from step to step.
    if (this.tickets.isNeeded(task)) return this.findBest(task, group, priority);
    if (this.unplaceableNeeds.has(service, task.step, priority)) return undefined;
    if (!isRankingShared(task)) return this.findBest(task, group, priority);
    const getCost = (worker: WorkerView) => this.examine(worker, task, group, priority);
    if (this.stepRanking?.group !== group || this.stepRanking.priority !== priority) {
      const ranking = new WorkerRanking(this.getOpenWorkers(task), getCost);
      this.stepRanking = {group, priority, ranking};
    }
    const best = this.stepRanking.ranking.getBest(getCost);
    if (best === undefined) this.unplaceableNeeds.add(service, task.step, priority);
    return best;
  }

  /** Returns why a worker gets no new tasks, or undefined when it is open for them. */
  getClosure(worker: WorkerView): WorkerClosure | undefined {
    const {at, state} = this;
    const closure = worker.getClosure(at, state.timing.unreachableMs);
    if (closure !== undefined) return closure;
    if (state.isEvacuated(worker)) return 'evacuated';
    if (worker.health.isSuspended(at)) return 'suspended';
    return this.isProbationUsed(worker) ? 'probation' : undefined;
  }

  /** Returns why an open worker is not eligible for a task, or undefined when it is. */
  getRefusal(
    worker: WorkerView,
    task: Task,
    group: StepTasks,
    priority: number,
  ): WorkerRefusal | undefined {
    const {description, capacity, used} = worker;
    const {step} = task;
    if (worker.runs.size >= maxWorkerRuns) return 'too-many-runs';
    if (step.label !== undefined && !description.labels.includes(step.label)) return 'label';
    if (task.runs.some(run => run.worker === worker)) return 'own-run';
    if (!this.hasTicket(task, worker)) return 'no-ticket';
    if (!this.isolation.isAllowed(worker, task)) return 'isolation';
    if (used.memoryMb + step.need.memoryMb > capacity.memoryMb) return 'memory';
    if (used.accelerators + step.need.accelerators > capacity.accelerators) return 'accelerators';
    const refusal = step.fills
      ? this.getFillingRefusal(worker, step)
      : this.getReservingRefusal(worker, task, priority);
    if (refusal !== undefined) return refusal;
    if (!this.reservations.fits(worker, task)) return 'reservation';
    if (step.spreadLimit !== undefined && countRuns(worker, group) >= step.spreadLimit) {
      return 'spread-limit';
    }
    return this.isProbationUsed(worker) ? 'probation' : undefined;
  }

  /** Returns the workers on which a task would fit if they were empty. */
  getCandidates(task: Task, group: StepTasks): WorkerView[] {
    const {step} = task;
    return this.getOpenWorkers(task).filter(
      worker =>
        (step.label === undefined || worker.description.labels.includes(step.label)) &&
        this.tickets.mayAllow(task, worker) &&
        (step.spreadLimit === undefined || countRuns(worker, group) < step.spreadLimit),
    );
  }

  private getOpenWorkers(task: Task): readonly WorkerView[] {
    return this.openWorkers.get(task.submission.service) ?? [];
  }

  private findBest(task: Task, group: StepTasks, priority: number): WorkerView | undefined {
    let best: WorkerView | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const worker of this.getOpenWorkers(task)) {
      const cost = this.examine(worker, task, group, priority);
      if (cost === undefined || cost >= bestCost) continue;
      best = worker;
      bestCost = cost;
    }
    return best;
  }

  /** Returns the cost of a worker for a task, or undefined when it is not eligible. */
  private examine(
    worker: WorkerView,
    task: Task,
    group: StepTasks,
    priority: number,
  ): number | undefined {
    this.examinedCount += 1;
    if (this.getRefusal(worker, task, group, priority) !== undefined) return undefined;
    return this.getCost(worker, task, group);
  }

  private getFillingRefusal(worker: WorkerView, step: Step): WorkerRefusal | undefined {
    const headroom = this.headrooms.get(worker, this.at);
    if (headroom.unusedCores < step.need.processors * minUnusedShare) return 'unused-processors';
    if (headroom.getHeadroomUse(step) > 1) return 'headroom';
    return this.isPairProbed(headroom, step.image) ? 'image-pair' : undefined;
  }

  private getReservingRefusal(
    {capacity, used}: WorkerView,
    task: Task,
    priority: number,
  ): WorkerRefusal | undefined {
    const {step} = task;
    const freeCores = capacity.processors - used.processors + coreTolerance;
    if (freeCores < step.need.processors) return 'processors';
    // A serving task that restarts has had its share before; leaving the reserve would keep it from its own room.
    const isRestart = this.reservations.canReserve(task);
    const shouldLeaveReserve = !isRestart && (priority > 0 || step.lasting);
    const reserveCores = shouldLeaveReserve ? capacity.processors * urgentReserveShare : 0;
    return freeCores - reserveCores < step.need.processors ? 'reserve' : undefined;
  }

  /** Whether a worker has the one finite task that it gets on probation. */
  private isProbationUsed(worker: WorkerView): boolean {
    return worker.health.isOnProbation(this.at) && hasFiniteRuns(worker);
  }

  private hasTicket(task: Task, worker: WorkerView): boolean {
    if (!this.tickets.isNeeded(task)) return true;
    return this.tickets.getTicket(task, worker, this.at) !== undefined;
  }

  /** Whether an unmeasured pair is already being probed; one probe at a time limits the harm to serving tasks. */
  private isPairProbed(headroom: WorkerHeadroom, filling: string | undefined): boolean {
    return headroom.groups.some(
      ({image}) =>
        this.getProbedPairs().has(getImagePairKey(image, filling)) &&
        !this.interference.isPairMeasured(image, filling, this.at),
    );
  }

  private getProbedPairs(): ReadonlySet<string> {
    if (this.probedPairs === undefined) {
      this.probedPairs = new Set();
      for (const worker of this.state.workers.values()) {
        this.collectProbes(worker, this.probedPairs);
      }
    }
    return this.probedPairs;
  }

  private collectProbes(worker: WorkerView, pairs: Set<string>): void {
    for (const pair of this.headrooms.get(worker, this.at).unmeasuredPairs) pairs.add(pair);
  }

  private getCost(worker: WorkerView, task: Task, group: StepTasks): number {
    const {step} = task;
    const {processors} = worker.capacity;
    let cost = this.isolation.getCost(worker, task);
    if (task.avoidedWorkers.has(worker.life)) cost += costs.avoided;
    if (worker.isCold(this.at)) cost += costs.cold;
    if (worker.health.isSuspect) cost += costs.suspect;
    cost += Math.max(0, worker.slowness - 1) * costs.slowness;
    if (step.rack !== undefined && step.rack !== worker.description.rack) cost += costs.otherRack;
    if (step.sameRack && !isOnGroupRack(worker, group)) cost += costs.otherRack;
    const freeShare = (processors - worker.used.processors) / Math.max(1, processors);
    if (step.fills || step.lasting) {
      const headroom = this.headrooms.get(worker, this.at);
      if (step.fills) return cost + getFillingCost(worker, headroom, step);
      if (step.tailTargetMs !== undefined) cost += headroom.fillers.length * costs.besideFillers;
      const {groups} = headroom;
      if (groups.length === 0) cost += costs.firstServing;
      else if (!groups.some(group => group.image === step.image)) cost += costs.otherImage;
    }
    return cost + freeShare * costs.free;
  }
}

/** Whether the worker of a task depends on nothing that the other tasks of its step do not share. */
function isRankingShared(task: Task): boolean {
  const {step, runs, avoidedWorkers, hasStarted, crashes} = task;
  if (step.gang || step.sameRack || crashes.isSuspect) return false;
  return runs.length === 0 && avoidedWorkers.size === 0 && !(step.lasting && hasStarted);
}

/** Returns the cost for a filling task; lower with more unused cores and more headroom of the serving tasks. */
function getFillingCost(worker: WorkerView, headroom: WorkerHeadroom, step: Step): number {
  const cost = -headroom.unusedCores / Math.max(1, worker.capacity.processors);
  if (headroom.groups.length === 0) return cost;
  return cost + costs.besideServing * (1 + headroom.getHeadroomUse(step));
}

/** Whether a worker runs tasks that end by themselves; a worker on probation gets only one of them at a time. */
function hasFiniteRuns(worker: WorkerView): boolean {
  for (const run of worker.runs.values()) if (!run.task.step.lasting) return true;
  return false;
}

function countRuns(worker: WorkerView, group: StepTasks): number {
  let count = 0;
  for (const run of worker.runs.values()) {
    const {task} = run;
    const isSameStep = task.stepIndex === group.index && task.occurrence === group.occurrence.index;
    if (isSameStep && task.submission === group.occurrence.submission) count += 1;
  }
  return count;
}

/** Whether the first running task of the step is on the worker's rack; true when none runs. */
function isOnGroupRack(worker: WorkerView, group: StepTasks): boolean {
  for (const task of group.knownTasks) {
    const [run] = task.runs;
    if (run) return run.worker.description.rack === worker.description.rack;
  }
  return true;
}

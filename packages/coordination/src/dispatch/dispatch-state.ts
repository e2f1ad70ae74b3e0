import {EvacuationView} from '../evacuation/index.js';
import {
  getObjectiveMs,
  getTaskName,
  isTimed,
  type QueueConfiguration,
  type QueuePolicy,
} from '../submissions/index.js';
import {type Estimate, RunTimeEstimates} from '../tasks/round/run-time-estimates.js';
import type {ActiveSubmission} from './active-submission.js';
import type {OwnerMessage} from './agent-messages.js';
import type {LoggedDecision} from './decision-log.js';
import {FillingThroughput, QueueWork} from './cost/index.js';
import {DeferredSubmissions} from './deferred-submissions.js';
import type {DispatchEffect} from './dispatch-events.js';
import type {DispatchTiming} from './dispatch-timing.js';
import type {LearnedWorker} from './learned/learned-state.js';
import {type PlacementScope, placementScopes} from './placement/round-plan.js';
import {RefusedSubmissions} from './refused-submissions.js';
import {StartBudget} from './placement/start-budget.js';
import type {Task} from './task.js';
import type {WorkerView} from './worker-view.js';

/** Workload name for `RunTimeEstimates`; run times are learned for each queue as a whole. */
const allWorkloads = '';

/** State shared by the components of the dispatcher, and the effects that they produce. */
export class DispatchState {
  /** Fencing token of the current ownership; 0 when this process is not the owner. */
  term = 0;
  /**
   * Highest fencing token that has been given out: the term, or the revision of a later write of the roster. The term of
   * the next owner is the revision of its claim, and so higher than all of them.
   */
  token = 0;
  /** Number of owners so far, including this one. */
  generation = 0;
  configuration: QueueConfiguration | undefined;
  readonly submissions = new Map<string, ActiveSubmission>();
  /** Accepted submissions that are left in the store until there is memory for them. */
  readonly deferred = new DeferredSubmissions();
  /** Workers by agent name. */
  readonly workers = new Map<string, WorkerView>();
  /** Evacuated data centres; kept when an ownership ends, as they are a fact about the store. */
  readonly evacuations = new EvacuationView();
  /** Learned ratio of actual to estimated run times, for each queue. */
  readonly runTimes = new RunTimeEstimates();
  /** Keys of the queues with a learned ratio. */
  readonly learnedQueues = new Set<string>();
  /** What another process has learned of workers that this one has not seen yet, by incarnation. */
  readonly learnedWorkers = new Map<string, LearnedWorker>();
  /** Scopes in which tasks may have become placeable since the last placement round of that scope. */
  private readonly duePlacements = new Set<PlacementScope>();
  /** Learned mean work of the submissions of each queue. */
  readonly queueWork = new QueueWork();
  /** Measured processors that filling tasks get. */
  readonly fillingThroughput = new FillingThroughput();
  /** Submissions that entries have refused. */
  readonly refused = new RefusedSubmissions();
  /** Limits the bytes of start commands. */
  readonly startBudget: StartBudget;
  private wallOffsetMs = 0;
  private nextCommandNumber = 1;
  private effects: DispatchEffect[] = [];

  constructor(readonly timing: DispatchTiming) {
    this.startBudget = new StartBudget(timing.startBytesPerSecond);
  }

  /** Makes placement rounds of all scopes due, because tasks may have become placeable. */
  requestPlacement(): void {
    for (const scope of placementScopes) this.duePlacements.add(scope);
  }

  /** Whether tasks may have become placeable since the last round of a scope. */
  isPlacementDue(scope: PlacementScope): boolean {
    return this.duePlacements.has(scope);
  }

  /** Records the start of a round; returns whether it was due. A round of all tasks includes that of a smaller scope. */
  takePlacement(scope: PlacementScope): boolean {
    const isDue = this.duePlacements.delete(scope);
    if (scope === 'all') this.duePlacements.clear();
    return isDue;
  }

  /** Sets the wall clock: Unix time `wallMs` at dispatcher time `at`, both in milliseconds. */
  setWallClock(wallMs: number, at: number): void {
    this.wallOffsetMs = wallMs - at;
  }

  /** Returns the Unix time in milliseconds at dispatcher time `at`. */
  getUnixMs(at: number): number {
    return at + this.wallOffsetMs;
  }

  /** Returns the learned correction factor for a queue's estimated run times; 1 without a queue. */
  getRunTimeFactor(queue: QueuePolicy | undefined): number {
    return queue === undefined ? 1 : this.runTimes.getFactor(queue.key, allWorkloads, 0);
  }

  /** Records the estimated and actual run time of a finished task in milliseconds. */
  observeRunTime(queue: QueuePolicy | undefined, estimatedMs: number, actualMs: number): void {
    if (queue !== undefined) {
      this.learnedQueues.add(queue.key);
      this.runTimes.observe(queue.key, allWorkloads, estimatedMs / 1000, actualMs / 1000);
    }
  }

  /** Returns what is known of the run times of each queue. */
  getLearnedRunTimes(): ReadonlyArray<Estimate & {readonly queue: string}> {
    return [...this.learnedQueues].flatMap(queue => {
      const estimate = this.runTimes.get(queue, allWorkloads);
      return estimate ? [{queue, ...estimate}] : [];
    });
  }

  /** Continues with what another process has learned of the run times of a queue, unless this one knows more. */
  restoreRunTimes(queue: string, estimate: Estimate): boolean {
    if (estimate.count <= this.runTimes.getCount(queue, allWorkloads)) return false;
    this.learnedQueues.add(queue);
    this.runTimes.set(queue, allWorkloads, estimate);
    return true;
  }

  /** Whether the order, admission and preemption follow what a delay costs callers. */
  get usesCost(): boolean {
    return this.timing.scheduling === 'cost';
  }

  /** Learns whether work of a submission's size is in time: when it completes, or when it has become late before. */
  recordOutcome(active: ActiveSubmission, at: number, isLate: boolean): void {
    const {id, queue, submission, work} = active;
    if (!this.usesCost || active.isLate || queue === undefined || isTimed(submission)) return;
    active.isLate = isLate;
    const objectiveMs = getObjectiveMs(queue, submission.steps, this.getRunTimeFactor(queue));
    const isInTime = !isLate && at - active.arrivedAt <= objectiveMs;
    this.queueWork.recordOutcome(submission.queue, id, work, isInTime);
  }

  /** Forgets what was learned of the submissions of an ownership. */
  clearLearned(): void {
    this.queueWork.clear();
    this.fillingThroughput.clear();
    this.refused.clear();
  }

  /** Memory in bytes of all loaded submissions without their runs. */
  get loadedBytes(): number {
    let sum = 0;
    for (const {bytes} of this.submissions.values()) sum += bytes;
    return sum;
  }

  /** Whether nothing may be started on a worker because its data centre is evacuated. */
  isEvacuated({description}: WorkerView): boolean {
    return this.evacuations.has(description.dataCentre);
  }

  /** Whether a worker has been heard from lately. */
  isReachable({isConnected, lastContactAt}: WorkerView, at: number): boolean {
    return isConnected && at - lastContactAt < this.timing.unreachableMs;
  }

  /** Returns the number of a new command, which messages carry as `order`. */
  takeCommandNumber(): number {
    return this.nextCommandNumber++;
  }

  /** Sends a message to an agent. */
  send(agent: string, message: OwnerMessage): void {
    this.effects.push({kind: 'send', agent, message});
  }

  /** Logs a decision. */
  log(decision: LoggedDecision): void {
    this.effects.push({kind: 'log', decision});
  }

  /** Adds to a counter. */
  count(name: string, by = 1): void {
    this.effects.push({kind: 'count', name, by});
  }

  /** Adds a duration in milliseconds to a histogram. */
  observe(name: string, valueMs: number): void {
    this.effects.push({kind: 'observe', name, valueMs});
  }

  /** Adds any other effect. */
  emit(effect: DispatchEffect): void {
    this.effects.push(effect);
  }

  /** Returns the collected effects and clears them. */
  takeEffects(): readonly DispatchEffect[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }

  /** Returns the task that a run name of a worker refers to, or undefined when it is unknown. */
  getNamedTask(name: string, at: number): Task | undefined {
    const [id = '', ...position] = name.split('.');
    const [occurrence = 0, step = 0, index = 0] = position.map(Number);
    const submission = this.submissions.get(id);
    if (submission === undefined || getTaskName(id, occurrence, step, index) !== name)
      return undefined;
    // A previous owner, whose clock was ahead, may have started an occurrence that is not due yet.
    if (!submission.isFinalStored && submission.hasTask(occurrence, step, index)) {
      submission.openStartedOccurrence(occurrence, at, this.getUnixMs(at));
    }
    return submission.getTask(occurrence, step, index);
  }
}

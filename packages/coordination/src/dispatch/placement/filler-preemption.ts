import {getStopLoss, isStopWorthwhile} from '../cost/index.js';
import type {DispatchState} from '../dispatch-state.js';
import type {WorkerHeadroomCache} from '../interference/worker-headroom.js';
import type {Occurrence} from '../occurrence.js';
import type {RunCommands} from '../run-commands.js';
import type {Run, Task} from '../task.js';
import {
  assessOccurrence,
  type Candidate,
  countRuns,
  getRemainingCoreMs,
} from './submission-order.js';

/** Ratio of remaining work from which a submission gives way to one that is nearer to its end. */
const minWorkRatio = 3;
/** Time in milliseconds for which a run is not preempted; resuming it elsewhere costs several hundred milliseconds. */
const minRunMs = 2_000;
/** Pace in percent below which a run uses so little that its end would make no room. */
const minPace = 50;
/** Largest number of runs that are being stopped at a time, as a fraction of the workers. */
const maxStoppingShare = 0.1;

interface Victim {
  readonly run: Run;
  readonly occurrence: Occurrence;
  /** Remaining work of its submission in core-milliseconds. */
  readonly remainingCoreMs: number;
  /** Value that is still obtainable for each core-millisecond that its submission needs. */
  readonly density: number;
}

/**
 * Makes room for filling tasks of short submissions: stops runs of filling tasks whose submissions have far more work
 * left. Only runs that save checkpoints are stopped, so that no work is lost. Without it, a few tasks that take
 * minutes hold all the processors that serving tasks leave unused. When the rules follow what a delay costs, runs are
 * stopped whose submissions earn far less for the capacity, if that is worth more than the work that is thrown away.
 * Serves one placement round.
 */
export class FillerPreemption {
  private victims: Victim[] | undefined;
  /** Number of runs whose room will soon be free; each serves one waiting task. */
  private endingRuns = 0;
  private allowedStops = 0;

  constructor(
    private readonly state: DispatchState,
    private readonly commands: RunCommands,
    private readonly headrooms: WorkerHeadroomCache,
    private readonly at: number,
  ) {}

  /** Stops a run in favour of a waiting task that fits nowhere, unless room is about to become free anyway. */
  makeRoom(task: Task, candidate: Candidate): void {
    if (!task.step.fills || candidate.lateness > 0) return;
    this.victims ??= this.collectVictims();
    if (this.endingRuns > 0) {
      this.endingRuns -= 1;
      return;
    }
    if (this.allowedStops <= 0) return;
    const index = this.victims.findIndex(victim => this.isVictim(victim, task, candidate));
    const [victim] = index < 0 ? [] : this.victims.splice(index, 1);
    if (victim === undefined) return;
    this.allowedStops -= 1;
    this.commands.stop(victim.run, 'shorter-work-waits', this.at);
  }

  private isVictim(victim: Victim, task: Task, candidate: Candidate): boolean {
    const {run} = victim;
    if (!this.isBetter(victim, task, candidate)) return false;
    // The last run of a submission keeps it from starving.
    if (countRuns(victim.occurrence, 'running') <= 1) return false;
    if (run.task.submission.service !== candidate.submission.service) return false;
    if (task.avoidedWorkers.has(run.worker.life)) return false;
    const {label} = task.step;
    if (label !== undefined && !run.worker.description.labels.includes(label)) return false;
    return this.headrooms.get(run.worker, this.at).canReplace(run, task.step);
  }

  /** Whether a submission is worth so much more than that of a victim that the victim has to give way. */
  private isBetter(victim: Victim, {step}: Task, candidate: Candidate): boolean {
    const {state, at} = this;
    if (!state.usesCost) {
      return victim.remainingCoreMs >= candidate.remainingCoreMs * minWorkRatio;
    }
    const loss = getStopLoss(
      victim.run.task.step,
      at - victim.run.startedAt,
      state.timing.restoreMs,
    );
    return isStopWorthwhile(step, candidate.density, victim.density, loss);
  }

  /** Returns the runs that can be stopped, those of the submissions with the most remaining work first. */
  private collectVictims(): Victim[] {
    const {state, at} = this;
    const victims: Victim[] = [];
    const assessed = new Map<Occurrence, Pick<Victim, 'remainingCoreMs' | 'density'>>();
    let stopping = 0;
    for (const worker of state.workers.values()) {
      // The end of a run makes no room where nothing may be started.
      if (state.isEvacuated(worker)) continue;
      const isOpen = worker.canAcceptTasks(at, state.timing.unreachableMs);
      for (const run of worker.runs.values()) {
        if (!run.task.step.fills) continue;
        if (run.state === 'stopping') stopping += 1;
        else if (isOpen && this.isPreemptible(run)) {
          const occurrence = run.task.submission.getOccurrence(run.task.occurrence);
          if (occurrence === undefined) continue;
          const assessment = assessed.get(occurrence) ?? this.assess(run, occurrence);
          assessed.set(occurrence, assessment);
          victims.push({run, occurrence, ...assessment});
        }
      }
    }
    this.endingRuns = stopping;
    this.allowedStops = Math.ceil(state.workers.size * maxStoppingShare) - stopping;
    if (state.usesCost) return victims.sort((a, b) => a.density - b.density);
    return victims.sort((a, b) => b.remainingCoreMs - a.remainingCoreMs);
  }

  private assess(run: Run, occurrence: Occurrence): Pick<Victim, 'remainingCoreMs' | 'density'> {
    const {state, at} = this;
    const {submission} = run.task;
    const factor = state.getRunTimeFactor(submission.queue);
    const remainingCoreMs = getRemainingCoreMs(occurrence, factor);
    if (!state.usesCost) return {remainingCoreMs, density: 0};
    const queueWork = state.queueWork.get(submission.submission.queue);
    const {density} = assessOccurrence({submission, occurrence, factor, queueWork, at});
    return {remainingCoreMs, density};
  }

  private isPreemptible(run: Run): boolean {
    const {checkpoints, gang, lasting} = run.task.step;
    if (gang || lasting || run.state !== 'running') return false;
    if (!checkpoints && !this.state.usesCost) return false;
    const hasRun = !checkpoints || this.at - run.startedAt >= minRunMs;
    return run.pace >= minPace && hasRun;
  }
}

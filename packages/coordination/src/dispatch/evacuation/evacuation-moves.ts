import type {DispatchState} from '../dispatch-state.js';
import type {RoomReservations} from '../placement/room-reservations.js';
import type {WorkerSelector} from '../placement/worker-selector.js';
import type {RunCommands} from '../run-commands.js';
import type {StepTasks} from '../step-tasks.js';
import type {RunSupervisor} from '../supervision/run-supervisor.js';
import type {Run, Task} from '../task.js';
import type {WorkerView} from '../worker-view.js';

/** Time in milliseconds between two checks of the evacuated workers. */
const checkIntervalMs = 500;
/** Largest number of finite runs that are being moved at a time, as a fraction of the workers. */
const maxMovingShare = 0.1;

/** What `EvacuationMoves` uses. */
export interface EvacuationMovesOptions {
  readonly state: DispatchState;
  readonly commands: RunCommands;
  readonly reservations: RoomReservations;
  readonly supervisor: RunSupervisor;
  readonly createSelector: (at: number) => WorkerSelector;
}

/** What one check has used up. */
interface Check {
  readonly at: number;
  readonly selector: WorkerSelector;
  /** Serving steps that have been looked at; their tasks are alike. */
  readonly steps: Set<StepTasks>;
  /** Workers that were found to have room for a run that moves; another one may not fit beside it. */
  readonly targets: Set<WorkerView>;
  /** Number of finite runs that may still be moved. */
  finiteMoves: number;
}

/**
 * Empties the workers of evacuated data centres in small steps. A serving task moves only while all other tasks of its
 * step are up, so no more than one of them is away, and only when another worker has room, which is then reserved. A
 * finite run with checkpoints moves when it would take longer than an evacuation may; without checkpoints its work would
 * be lost, and a gang could start again only with room for all of its tasks, so these end by themselves.
 */
export class EvacuationMoves {
  private checkedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: EvacuationMovesOptions) {}

  /** Moves what may be moved now; does nothing when the last check was less than `checkIntervalMs` ago. */
  check(at: number): void {
    const {state, createSelector} = this.options;
    if (state.evacuations.isEmpty || at - this.checkedAt < checkIntervalMs) return;
    this.checkedAt = at;
    const workers = [...state.workers.values()].filter(worker => state.isEvacuated(worker));
    if (workers.length === 0) return;
    const check: Check = {
      at,
      selector: createSelector(at),
      steps: new Set(),
      targets: new Set(),
      finiteMoves: Math.ceil(state.workers.size * maxMovingShare) - countEndingRuns(workers),
    };
    for (const worker of workers) {
      // The supervisor moves the runs of a draining worker, which has little time.
      if (worker.isDraining || !worker.isReconciled || !state.isReachable(worker, at)) continue;
      for (const run of [...worker.runs.values()]) this.checkRun(run, check);
    }
  }

  private checkRun(run: Run, check: Check): void {
    const {task} = run;
    const {step, submission} = task;
    if (run.state !== 'running' || task.runs.length > 1 || step.gang) return;
    if (task.isFinished || !submission.isActive) return;
    if (step.lasting) this.moveServing(run, check);
    else if (step.checkpoints) this.moveFinite(run, check);
  }

  private moveServing(run: Run, check: Check): void {
    const {task} = run;
    const {group} = task;
    if (check.steps.has(group)) return;
    check.steps.add(group);
    // One task away is within any bound on unavailable tasks, so only the others have to be counted.
    if (this.countAwayOthers(task, check.at) > 0) return;
    const target = selectTarget(task, check);
    if (target === undefined) return;
    if (!task.step.fills && !this.options.reservations.reserveMove(task, target, check.at)) return;
    this.move(run, target, check);
  }

  private moveFinite(run: Run, check: Check): void {
    const {state, supervisor} = this.options;
    if (check.finiteMoves <= 0) return;
    if (supervisor.getRemainingMs(run, check.at) <= state.timing.evacuationMs) return;
    const target = selectTarget(run.task, check);
    if (target === undefined) return;
    check.finiteMoves -= 1;
    this.move(run, target, check);
  }

  private move(run: Run, target: WorkerView, {at, targets}: Check): void {
    const {state, commands} = this.options;
    targets.add(target);
    state.count('runs_moved_evacuation');
    state.log({
      event: 'run-moved',
      submission: run.task.submission.id,
      task: run.task.name,
      run: run.number,
      worker: run.worker.life,
      target: target.life,
      reason: 'evacuation',
    });
    commands.stop(run, 'evacuation', at);
  }

  /** Returns the number of other tasks of a serving task's step that are away, for whatever reason. */
  private countAwayOthers({group, index}: Task, at: number): number {
    let away = group.unfinishedCount - 1;
    for (const task of group.knownTasks) if (task.index !== index && this.isUp(task, at)) away -= 1;
    return away;
  }

  private isUp({runs}: Task, at: number): boolean {
    const {state} = this.options;
    return runs.some(
      run => run.state === 'running' && run.percent >= 100 && state.isReachable(run.worker, at),
    );
  }
}

/** Returns a worker with room for a task that has not been chosen for another move of this check. */
function selectTarget(task: Task, {selector, targets}: Check): WorkerView | undefined {
  const priority = task.submission.queue?.priority ?? 0;
  const target = selector.selectWorker(task, task.group, priority);
  return target === undefined || targets.has(target) ? undefined : target;
}

/** Returns the number of finite runs on the workers that are being stopped. */
function countEndingRuns(workers: readonly WorkerView[]): number {
  let count = 0;
  for (const worker of workers) {
    for (const {state, task} of worker.runs.values()) {
      if (!task.step.lasting && state !== 'running' && state !== 'starting') count += 1;
    }
  }
  return count;
}

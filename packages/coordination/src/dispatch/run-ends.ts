import {getStepWorkCoreMs, getSubmissionId} from '../submissions/index.js';
import type {RunEndRow} from './agent-messages.js';
import type {DispatchState} from './dispatch-state.js';
import type {RoomReservations} from './placement/room-reservations.js';
import type {ProgressJournal} from './progress-journal.js';
import type {RunCommands} from './run-commands.js';
import type {SubmissionEnds} from './submission-ends.js';
import type {CrashTracker} from './supervision/crash-tracker.js';
import type {RunSupervisor} from './supervision/run-supervisor.js';
import type {Run, Task} from './task.js';
import type {WorkerView} from './worker-view.js';

/** Delay in milliseconds between a failed run and the task's next run. */
const failureDelayMs = 100;

/** Components of the dispatcher that `RunEnds` uses. */
export interface RunEndsOptions {
  readonly state: DispatchState;
  readonly journal: ProgressJournal;
  readonly commands: RunCommands;
  readonly reservations: RoomReservations;
  readonly supervisor: RunSupervisor;
  readonly ends: SubmissionEnds;
  readonly crashes: CrashTracker;
}

/** Applies the ends of runs to their tasks, and decides which of them are acknowledged only after a write. */
export class RunEnds {
  constructor(private readonly components: RunEndsOptions) {}

  /** Applies an end that a worker lists; ends that were seen before are ignored. */
  apply(worker: WorkerView, end: RunEndRow, at: number): void {
    const {state, journal} = this.components;
    const [endNumber, name, runNumber, how, checkpoint] = end;
    if (!worker.ends.add(endNumber)) return;
    const run = worker.getRun(name, runNumber);
    const task = run?.task ?? state.getNamedTask(name, at);
    state.log({
      event: 'run-ended',
      submission: getSubmissionId(name),
      task: name,
      run: runNumber,
      worker: worker.life,
      reason: how,
      ...(run && {ageMs: Math.round(at - run.startedAt), percent: run.percent}),
      end: endNumber,
      submissionState: task === undefined ? 'unknown' : (task.submission.final ?? 'active'),
    });
    state.count(`runs_ended_${how}`);
    if (task === undefined) {
      // Nothing has to be stored, so the end can be acknowledged immediately.
      worker.ends.store(endNumber);
      return;
    }
    task.submission.hasStarted = true;
    task.lastRunNumber = Math.max(task.lastRunNumber, runNumber);
    task.hasStarted = true;
    if (checkpoint !== '') task.checkpoint = checkpoint;
    else if (run && run.checkpoint !== '') task.checkpoint = run.checkpoint;
    if (run)
      this.components.commands.remove(run, how === 'failed' ? at + failureDelayMs : undefined);
    this.keepRoom(task, worker, at);
    const hasChanged = this.applyEndToTask(task, run, worker, end, at);
    if (hasChanged) {
      journal.addUnstoredEnd(worker, endNumber, task.submission);
      journal.markChanged(task.submission, at);
    } else worker.ends.store(endNumber);
    this.components.ends.completeIfFinished(task.submission, at);
  }

  private recordFinishedFilling({step, submission}: Task): void {
    const {state} = this.components;
    const coreMs = getStepWorkCoreMs(step, 1, state.getRunTimeFactor(submission.queue));
    state.fillingThroughput.recordFinished(submission.service, coreMs);
  }

  /** Keeps the room of a serving task that has ended, unless its worker is leaving or was stopped on purpose. */
  private keepRoom(task: Task, worker: WorkerView, at: number): void {
    if (task.runs.length > 0 || worker.isDraining) return;
    this.components.reservations.keepRoom(task, worker, at);
  }

  /** Applies the end of a run to its task; returns whether the submission's progress must be stored. */
  private applyEndToTask(
    task: Task,
    run: Run | undefined,
    worker: WorkerView,
    end: RunEndRow,
    at: number,
  ): boolean {
    const {supervisor, commands, ends} = this.components;
    const how = end[3];
    const {submission, step} = task;
    if (!submission.isActive) {
      // Until the final state is stored, the next owner goes on with the submission and must learn of this end.
      return !submission.isFinalStored && (how === 'done' || how === 'failed');
    }
    if (how === 'done' && !step.lasting) {
      if (step.fills) this.recordFinishedFilling(task);
      if (run) {
        supervisor.recordRunTime(run, at);
        // An adopted run may have started before the latest failure.
        const isOwn = run.adoptedPercent === undefined;
        worker.health.recordSuccess(isOwn ? run.startedAt : Number.NEGATIVE_INFINITY, at);
        submission.recordRunEnd(worker.life, false);
      }
      this.components.crashes.recordDone(task, at);
      // One finished member finishes the gang.
      if (step.gang) task.group.finishAll();
      else task.group.finish(task);
      commands.stopRuns(task, 'finished-elsewhere', at);
      return true;
    }
    if (how !== 'failed') return false;
    task.avoidedWorkers.add(worker.life);
    const {failures, ends: count} = submission.getRunEndsElsewhere(worker.life);
    submission.recordRunEnd(worker.life, true);
    if (worker.health.recordFailure(failures, count, at)) {
      this.components.state.log({
        event: 'worker-suspended',
        worker: worker.life,
        reason: 'failures',
      });
    }
    ends.recordFailedRun(task, end[2], at);
    return !step.lasting;
  }
}

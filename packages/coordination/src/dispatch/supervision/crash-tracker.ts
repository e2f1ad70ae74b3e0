import type {DispatchState} from '../dispatch-state.js';
import type {ProgressJournal} from '../progress-journal.js';
import type {SubmissionEnds} from '../submission-ends.js';
import type {Run, Task} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import {blameCrash, type CrashedRun} from './crash-blame.js';

/** Largest number of incarnations whose crashes can be retracted. */
const maxRetractableCrashes = 64;

/** Time in milliseconds from a start command after which a report of the worker would list the run. */
const unlistedStartMs = 500;

/** A worker that fell silent until its lease ended, with its runs at that time. */
interface SilentWorker {
  readonly life: string;
  readonly runs: readonly Run[];
  /** Time by which its lease, and with it all runs, had ended. */
  readonly leaseEndedAt: number;
}

/** A crash, with the runs that its worker had. */
interface Crash extends Pick<SilentWorker, 'life' | 'runs'>, WorkerEnd {}

/** How a worker has ended. */
export interface WorkerEnd {
  readonly reason: string;
  /** Time at which the end has become known. */
  readonly at: number;
  /** Time at which it stopped answering its agent, when that is known. */
  readonly silentAt: number | undefined;
}

/** An incarnation that another one has replaced, and the time at which it stopped answering its agent, when that is known. */
export interface ReplacedWorker {
  readonly life: string;
  readonly silentAt: number | undefined;
}

/**
 * Records under which tasks workers crash, and fails submissions with a task that crashes one worker after another. A
 * worker crashes when it ends without a farewell; one that leaves, or is only silent, does not.
 */
export class CrashTracker {
  /** Workers that may have crashed, by agent; the next incarnation of an agent's worker proves it. */
  private readonly silentWorkers = new Map<string, SilentWorker>();
  /** Tasks whose history contains the crash of an incarnation. */
  private readonly tasksByLife = new Map<string, readonly Task[]>();

  constructor(
    private readonly state: DispatchState,
    private readonly journal: ProgressJournal,
    private readonly ends: SubmissionEnds,
  ) {}

  /** Forgets all workers. */
  clear(): void {
    this.silentWorkers.clear();
    this.tasksByLife.clear();
  }

  /** Records that a worker has ended; its runs are still known. */
  recordEnd(worker: WorkerView, {reason, at, silentAt}: WorkerEnd): void {
    if (reason === 'farewell' || worker.isDraining) {
      this.silentWorkers.delete(worker.agent);
      return;
    }
    this.recordCrash({life: worker.life, runs: [...worker.runs.values()], reason, at, silentAt});
  }

  /** Records that a worker was silent until its lease ended; its runs are still known. */
  recordSilence({agent, life, runs, isDraining}: WorkerView, leaseEndedAt: number): void {
    if (isDraining || runs.size === 0) return;
    this.silentWorkers.set(agent, {life, runs: [...runs.values()], leaseEndedAt});
  }

  /** Records that an agent has a worker incarnation: a silent one before it has crashed, and this one has not. */
  recordPresence(agent: string, life: string, at: number, former?: ReplacedWorker): void {
    const silent = this.silentWorkers.get(agent);
    this.silentWorkers.delete(agent);
    if (silent !== undefined && silent.life !== life) {
      const {leaseEndedAt} = silent;
      const silentAt = former?.life === silent.life ? former.silentAt : undefined;
      const hadRuns = silentAt !== undefined && silentAt <= leaseEndedAt;
      const runs = hadRuns ? silent.runs : [];
      this.recordCrash({life: silent.life, runs, reason: 'silent', at, silentAt});
    }
    for (const task of this.tasksByLife.get(life) ?? []) {
      if (task.crashes.delete(life)) this.markChanged(task, at);
    }
    this.tasksByLife.delete(life);
  }

  /** Clears a task of suspicion as far as a run of it has outlived the crashes. */
  recordWork(run: Run, at: number): void {
    run.confirmedAt ??= at;
    const {task} = run;
    const ageMs = at - run.confirmedAt;
    if (task.crashes.isOutlived(ageMs)) task.group.hasSurvivor = true;
    if (task.crashes.count === 0 || !task.crashes.clearOutlived(ageMs)) return;
    this.markCleared(task, at);
  }

  /** Clears a task of suspicion because it has ended as done. */
  recordDone(task: Task, at: number): void {
    task.group.hasSurvivor = true;
    if (task.crashes.clear()) this.markCleared(task, at);
  }

  private recordCrash({life, runs, reason, at, silentAt}: Crash): void {
    const {state} = this;
    const active = runs
      .filter(({task}) => !task.isFinished && task.submission.isActive)
      .flatMap(run => getCrashedRun(run, at, silentAt) ?? []);
    for (const {run, workedMs} of active) {
      if (run.task.crashes.clearOutlived(workedMs)) this.markCleared(run.task, at);
    }
    const verdicts = blameCrash(active);
    for (const {task, timing} of verdicts) {
      task.crashes.add(life, timing);
      const {isSuspect} = task.crashes;
      task.submission.areCrashesStored = false;
      if (isSuspect) task.submission.suspects.add(task);
      // A suspect waits until its crashes are stored.
      this.journal.markChanged(task.submission, at, isSuspect);
    }
    this.remember(
      life,
      verdicts.map(({task}) => task),
    );
    const suspects = verdicts.filter(({task}) => task.crashes.isSuspect);
    state.count('workers_crashed');
    state.count('tasks_suspected', suspects.length);
    state.log({
      event: 'worker-crashed',
      worker: life,
      runs: runs.length,
      recorded: verdicts.length,
      suspects: suspects.length,
      reason,
      ...(silentAt !== undefined && {silentMs: Math.round(at - silentAt)}),
    });
    for (const {task, ageMs, isGivenUp} of verdicts) {
      if (!isGivenUp || !task.submission.isActive) continue;
      state.log({
        event: 'task-given-up',
        submission: task.submission.id,
        task: task.name,
        worker: life,
        reason: 'crashes',
        crashes: task.crashes.count,
        ageMs: Math.round(ageMs),
      });
      this.ends.failCrashing(task, at);
    }
  }

  private markCleared(task: Task, at: number): void {
    this.state.count('tasks_cleared');
    this.state.log({event: 'task-cleared', submission: task.submission.id, task: task.name});
    this.markChanged(task, at);
  }

  private markChanged(task: Task, at: number): void {
    if (task.submission.isActive) this.journal.markChanged(task.submission, at);
    if (!task.crashes.isSuspect) task.submission.suspects.delete(task);
    this.state.requestPlacement();
  }

  private remember(life: string, tasks: readonly Task[]): void {
    this.tasksByLife.set(life, tasks);
    const [oldest] = this.tasksByLife.keys();
    if (this.tasksByLife.size > maxRetractableCrashes && oldest !== undefined) {
      this.tasksByLife.delete(oldest);
    }
  }
}

/**
 * Returns a run with its age at the crash of its worker, which is known since `at`; undefined when it was not on the worker, or
 * when its age is not known, as that of an adopted run. Unless the worker is known to have stopped answering at `silentAt`, it
 * may have crashed at any time until `at`. The answer to a start may arrive late, so the age is counted from the command.
 */
function getCrashedRun(run: Run, at: number, silentAt: number | undefined): CrashedRun | undefined {
  const {adoptedPercent, confirmedAt, confirmedAgeMs, startedAt} = run;
  if (adoptedPercent !== undefined) return undefined;
  if (confirmedAt !== undefined) {
    const ageMs = Math.max(confirmedAgeMs, (silentAt ?? at) - startedAt);
    const workedMs = Math.max(confirmedAgeMs, (silentAt ?? confirmedAt) - confirmedAt);
    return {run, ageMs, workedMs};
  }
  return silentAt !== undefined && mayHaveBegun(run, silentAt)
    ? {run, ageMs: silentAt - startedAt, workedMs: 0}
    : undefined;
}

/**
 * Whether a start without an answer may have been executed by a worker that stopped answering at `silentAt`. One that was
 * sent later was not, nor was one that the worker has reported without, or that is only looked for on the next incarnation.
 */
function mayHaveBegun({isCarriedOver, startedAt, worker}: Run, silentAt: number): boolean {
  if (isCarriedOver || startedAt >= silentAt) return false;
  return worker.lastReportAt - startedAt < unlistedStartMs;
}

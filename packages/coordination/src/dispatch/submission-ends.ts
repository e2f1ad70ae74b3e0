import {ActiveSubmission} from './active-submission.js';
import type {DispatchState} from './dispatch-state.js';
import type {EndCause} from './end-cause.js';
import type {ProgressJournal} from './progress-journal.js';
import type {RunCommands} from './run-commands.js';
import type {Task} from './task.js';

/** Number of failed runs after which a task fails when the settings of its queue are neither configured nor stored. */
const defaultMaxAttempts = 1;

/** Moves submissions to their final states, and removes them after their retention time. */
export class SubmissionEnds {
  /** Arrival times of cancels whose submissions are not known yet, by submission. */
  private readonly earlyCancels = new Map<string, number>();

  constructor(
    private readonly state: DispatchState,
    private readonly commands: RunCommands,
    private readonly journal: ProgressJournal,
  ) {}

  /** Cancels a submission: stops its runs and starts no more. */
  cancel(id: string, at: number): void {
    const submission = this.state.submissions.get(id) ?? this.takeDeferred(id, at);
    if (submission === undefined) {
      // Entries also announce a cancel over their links, which can arrive before the submission's store event.
      this.earlyCancels.set(id, at);
      this.state.log({event: 'cancel-early', submission: id});
      return;
    }
    if (!submission.isActive) return;
    this.state.log({event: 'submission-cancelled', submission: id});
    this.state.count('submissions_cancelled');
    this.end(submission, 'cancelled', at, {cause: 'cancel'});
  }

  /** Removes the early cancel of a submission; returns whether there was one. */
  takeEarlyCancel(id: string): boolean {
    return this.earlyCancels.delete(id);
  }

  /** Discards early cancels older than `keepFinalMs`; by then the store's watch would have shown the submission. */
  expireEarlyCancels(at: number): void {
    for (const [id, since] of this.earlyCancels) {
      if (at - since >= this.state.timing.keepFinalMs) this.earlyCancels.delete(id);
    }
  }

  /** Records a failed run; fails the submission once the task has used all its attempts. */
  recordFailedRun(task: Task, run: number, at: number): void {
    const {submission} = task;
    // Serving tasks have no limit of attempts, and may fail without end.
    if (task.step.lasting) return;
    task.failedRuns.add(run);
    if (!submission.isActive) return;
    if (task.failedRuns.size >= this.getMaxAttempts(submission)) this.failExhausted(task, at);
  }

  /** Fails a submission with a task that has used all its attempts, by settings that were not known when it failed. */
  failIfExhausted(submission: ActiveSubmission, at: number): void {
    if (!submission.isActive) return;
    const task = submission.findExhaustedTask(this.getMaxAttempts(submission));
    if (task !== undefined) this.failExhausted(task, at);
  }

  /** Returns a deferred submission, without its tasks, which are not needed any more; undefined when it is not deferred. */
  private takeDeferred(id: string, at: number): ActiveSubmission | undefined {
    const {deferred, submissions, configuration} = this.state;
    const stored = deferred.get(id);
    if (stored === undefined) return undefined;
    deferred.delete(id);
    const {submission} = stored;
    const queue = configuration?.queues.get(submission.queue);
    const active = new ActiveSubmission({submission, queue, arrivedAt: at});
    submissions.set(id, active);
    return active;
  }

  private getMaxAttempts({queue}: ActiveSubmission): number {
    if (queue !== undefined) return queue.maxAttempts;
    // The queue may be in a configuration that has not been read yet.
    return this.state.configuration === undefined ? Number.POSITIVE_INFINITY : defaultMaxAttempts;
  }

  /** Fails the submission of a task that must not be started again, because it crashes its workers. */
  failCrashing(task: Task, at: number): void {
    const {submission, name, crashes} = task;
    if (!submission.isActive) return;
    this.end(submission, 'failed', at, {cause: 'crashes', task: name, crashes: crashes.count});
  }

  /** Completes a submission when all its tasks are finished. */
  completeIfFinished(submission: ActiveSubmission, at: number): void {
    if (submission.isActive && submission.isFinished) this.end(submission, 'completed', at);
  }

  /**
   * Releases the memory of a submission whose final state is stored, once it has no runs left, and removes it when that state
   * is older than `keepFinalMs`.
   */
  removeExpired(submission: ActiveSubmission, at: number): void {
    if (!submission.isFinalStored) return;
    for (const task of submission.getKnownTasks()) if (task.runs.length > 0) return;
    if (submission.submission.steps.length > 0) submission.release();
    const ageMs = this.state.getUnixMs(at) - submission.endedAtMs;
    if (ageMs < this.state.timing.keepFinalMs) return;
    this.state.submissions.delete(submission.id);
    this.journal.markForgotten(submission.id);
  }

  private failExhausted({submission, name, failedRuns}: Task, at: number): void {
    this.end(submission, 'failed', at, {
      cause: 'attempts',
      task: name,
      failedRuns: failedRuns.size,
      maxAttempts: this.getMaxAttempts(submission),
    });
  }

  private end(
    submission: ActiveSubmission,
    final: 'completed' | 'failed' | 'cancelled',
    at: number,
    cause?: EndCause,
  ): void {
    submission.final = final;
    if (cause !== undefined) submission.endCause = cause;
    submission.endedAtMs = Math.round(this.state.getUnixMs(at));
    for (const task of submission.getKnownTasks()) this.commands.stopRuns(task, final, at);
    this.journal.markChanged(submission, at, true);
    this.state.count(`submissions_${final}`);
    if (final === 'completed') this.state.recordOutcome(submission, at, false);
  }
}

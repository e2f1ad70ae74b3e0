import type {ActiveSubmission} from './active-submission.js';
import {type DeferredSubmission, toDeferred} from './deferred-submissions.js';
import type {DispatchEvent, StoredSubmission} from './dispatch-events.js';
import type {DispatchState} from './dispatch-state.js';
import type {SubmissionEnds} from './submission-ends.js';
import type {Submission} from '../submissions/index.js';

/** Decides which accepted submissions the owner loads, so that all of them together stay within its memory. */
export class SubmissionIntake {
  /** Times at which deferred submissions were loaded of whose runs not all workers have reported since. */
  private readonly unlistedSince = new Map<string, number>();

  constructor(
    private readonly state: DispatchState,
    private readonly ends: SubmissionEnds,
    /** Adds a submission to those that are processed; `isRestored` is whether a previous owner may have started tasks. */
    private readonly add: (stored: StoredSubmission, isRestored: boolean, at: number) => void,
  ) {}

  /** Forgets all deferred submissions. */
  clear(): void {
    this.state.deferred.clear();
    this.unlistedSince.clear();
  }

  /** Loads deferred submissions; `isRecovering` is whether not all workers of previous owners are accounted for. */
  tick(isRecovering: boolean, at: number): void {
    this.loadNext(at);
    if (!isRecovering) this.clearListed();
  }

  /** Lets tasks start: the workers have listed all runs of previous owners, but those of later loaded submissions. */
  clearInDoubt(): void {
    for (const [id, submission] of this.state.submissions) {
      if (!this.unlistedSince.has(id)) submission.clearInDoubt();
    }
  }

  /** Adds a submission that has just been stored, or defers it when there is no memory for it. */
  accept(submission: Submission, at: number): void {
    const {state} = this;
    if (state.submissions.has(submission.id) || state.deferred.has(submission.id)) return;
    const deferred = toDeferred(submission);
    if (this.makeRoom(deferred.bytes, at)) this.add({submission, cancelled: false}, false, at);
    else this.defer(deferred, at);
  }

  /** Defers larger submissions that have not started until a new one fits; returns whether it does. */
  private makeRoom(bytes: number, at: number): boolean {
    const {state} = this;
    while (state.loadedBytes + bytes > state.timing.maxLoadedBytes) {
      const largest = findLargest(state.submissions.values());
      if (largest === undefined || largest.bytes <= bytes) return false;
      state.submissions.delete(largest.id);
      this.defer(toDeferred(largest.submission), at);
    }
    return true;
  }

  /** Leaves a submission in the store for now. */
  defer(deferred: DeferredSubmission, at: number): void {
    const {id} = deferred.submission;
    this.state.deferred.add(deferred);
    this.state.count('submissions_deferred');
    this.state.log({event: 'submission-deferred', submission: id, bytes: deferred.bytes});
    const wasCancelled = this.ends.takeEarlyCancel(id);
    if (deferred.cancelled || wasCancelled) this.ends.cancel(id, at);
  }

  /** Adds a deferred submission that has been read. Previous owners may have started its tasks. */
  load({id, stored}: Extract<DispatchEvent, {kind: 'loaded'}>, at: number): void {
    const {state} = this;
    // It may have been cancelled meanwhile.
    if (!state.deferred.delete(id) || stored === undefined) return;
    this.add(stored, true, at);
    this.unlistedSince.set(id, at);
  }

  /** Requests the next deferred submission for which there is memory. */
  private loadNext(at: number): void {
    const {state} = this;
    if (state.deferred.size === 0) return;
    // Ended submissions must not keep the last ones out.
    const hasActive = [...state.submissions.values()].some(({isActive}) => isActive);
    const freeBytes = state.timing.maxLoadedBytes - state.loadedBytes;
    const id = state.deferred.takeNext(hasActive ? freeBytes : Number.POSITIVE_INFINITY, at);
    if (id !== undefined) state.emit({kind: 'load', id});
  }

  /** Lets the tasks of loaded submissions start once every worker has listed its runs since then. */
  private clearListed(): void {
    for (const [id, since] of this.unlistedSince) {
      const workers = [...this.state.workers.values()];
      if (!workers.every(({listedAt}) => listedAt > since)) continue;
      this.unlistedSince.delete(id);
      this.state.submissions.get(id)?.clearInDoubt();
      this.state.requestPlacement();
    }
  }
}

/** Returns the largest submission none of whose tasks has been started, or undefined when there is none. */
function findLargest(submissions: Iterable<ActiveSubmission>): ActiveSubmission | undefined {
  let largest: ActiveSubmission | undefined;
  for (const submission of submissions) {
    if (submission.bytes <= (largest?.bytes ?? 0) || !submission.isUntouched) continue;
    largest = submission;
  }
  return largest;
}

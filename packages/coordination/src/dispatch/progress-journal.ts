import type {ActiveSubmission} from './active-submission.js';
import {toIdentity} from './deferred-submissions.js';
import type {DispatchEvent, ProgressWrite, RosterEntry, StoredProgress} from './dispatch-events.js';
import type {DispatchState} from './dispatch-state.js';
import type {WorkerView} from './worker-view.js';

/**
 * Maximum number of records in one write: the store accepts 32 entries, of which two are the conditions, one is the journal
 * record and one the roster.
 */
const maxRecords = 28;

interface UnstoredEnd {
  readonly worker: WorkerView;
  readonly end: number;
  readonly submission: ActiveSubmission;
}

interface PendingWrite {
  readonly sequence: number;
  readonly write: ProgressWrite;
  readonly submissions: readonly ActiveSubmission[];
  readonly finals: readonly ActiveSubmission[];
  readonly ends: readonly UnstoredEnd[];
  readonly rosterLives?: ReadonlySet<string>;
  readonly sentAt: number;
  /** Submissions with their numbers of finished tasks, for the log. */
  readonly contents: string;
  /** Number of times the write has been sent. */
  attempts: number;
}

/** Stores the progress of submissions in batches, and acknowledges run ends once they are stored. */
export class ProgressJournal {
  private readonly changed = new Set<ActiveSubmission>();
  private readonly forgotten = new Set<string>();
  private ends: UnstoredEnd[] = [];
  private pending: PendingWrite | undefined;
  private nextSequence = 1;
  private changedAt = Number.POSITIVE_INFINITY;
  private isUrgent = false;
  private retryAt = Number.NEGATIVE_INFINITY;
  /** Worker incarnations in the stored roster. */
  private storedRoster = new Set<string>();
  private isRosterChanged = false;

  /** `getUnaccounted` returns the workers of previous owners that have not been accounted for. */
  constructor(
    private readonly state: DispatchState,
    private readonly getUnaccounted: () => readonly RosterEntry[] = () => [],
  ) {}

  /** Discards all pending changes and starts with the stored roster. */
  reset(roster: readonly RosterEntry[]): void {
    this.changed.clear();
    this.forgotten.clear();
    this.ends = [];
    this.pending = undefined;
    this.isUrgent = false;
    this.changedAt = Number.POSITIVE_INFINITY;
    this.retryAt = Number.NEGATIVE_INFINITY;
    this.storedRoster = new Set(roster.map(entry => entry.life));
    this.isRosterChanged = false;
  }

  /** Marks a submission to be stored; `urgent` skips the batching delay because a caller or a worker is waiting. */
  markChanged(submission: ActiveSubmission, at: number, urgent = false): void {
    this.changed.add(submission);
    this.changedAt = Math.min(this.changedAt, at);
    this.isUrgent ||= urgent;
  }

  /** Adds a run end to be acknowledged once its submission has been stored. */
  addUnstoredEnd(worker: WorkerView, end: number, submission: ActiveSubmission): void {
    this.ends.push({worker, end, submission});
  }

  /** Marks the records of a submission for deletion. */
  markForgotten(id: string): void {
    this.forgotten.add(id);
  }

  /** Marks the roster to be stored, because the set of workers has changed. */
  markRosterChanged(): void {
    this.isRosterChanged = true;
  }

  /** Whether the stored roster contains a worker incarnation, and no write in flight removes it. */
  isInStoredRoster(life: string): boolean {
    const isRemoved = this.pending?.rosterLives?.has(life) === false;
    return this.storedRoster.has(life) && !isRemoved;
  }

  /** Sends the next write when one is due and none is in flight. */
  flush(at: number): void {
    const {timing} = this.state;
    if (this.pending !== undefined || at < this.retryAt) return;
    const isDue = this.isUrgent || at - this.changedAt >= timing.progressDelayMs;
    const hasRecords = isDue && this.changed.size > 0;
    if (!hasRecords && !this.isRosterChanged && this.forgotten.size === 0) return;
    const submissions = hasRecords ? this.takeChanged() : [];
    // Each forgotten submission has three records: the submission, its cancel request and its progress.
    const forgotten = [...this.forgotten].slice(
      0,
      Math.floor((maxRecords - countRecords(submissions)) / 3),
    );
    const roster = this.isRosterChanged ? this.getRoster(at) : undefined;
    this.isRosterChanged = false;
    const included = new Set(submissions);
    const write: ProgressWrite = {
      progress: submissions.map(createStoredProgress),
      ...(roster && {roster}),
      forgotten,
    };
    for (const id of forgotten) this.forgotten.delete(id);
    this.pending = {
      sequence: this.nextSequence++,
      write,
      submissions,
      finals: submissions.filter(submission => submission.final !== undefined),
      ends: this.ends.filter(end => included.has(end.submission)),
      ...(roster && {rosterLives: new Set(roster.map(entry => entry.life))}),
      sentAt: at,
      contents: submissions.map(({id, finishedCount}) => `${id}:${finishedCount}`).join(' '),
      attempts: 0,
    };
    this.ends = this.ends.filter(end => !included.has(end.submission));
    this.send();
  }

  /** Handles the result of a write. */
  handleResult(event: Extract<DispatchEvent, {kind: 'written'}>, at: number): void {
    const {pending, state} = this;
    const {sequence, result, revision} = event;
    if (pending === undefined || pending.sequence !== sequence) return;
    if (result === 'conflict') {
      this.pending = undefined;
      state.emit({kind: 'deposed', reason: 'write-conflict'});
      return;
    }
    if (result !== 'ok') {
      state.count('progress_writes_retried');
      state.log({
        event: 'progress-not-stored',
        reason: result,
        ageMs: Math.round(at - pending.sentAt),
        sequence,
        attempts: pending.attempts,
      });
      this.retryAt = at + state.timing.writeRetryMs;
      return;
    }
    this.pending = undefined;
    state.log({
      event: 'progress-stored',
      ageMs: Math.round(at - pending.sentAt),
      sequence,
      attempts: pending.attempts,
      revision,
      submissions: pending.contents,
      ends: pending.ends.map(({worker, end}) => `${worker.life}:${end}`).join(' '),
    });
    this.applyWritten(pending, revision ?? 0, at);
  }

  /** Repeats a failed write, unchanged and with the same sequence number, when its retry is due. */
  retryIfDue(at: number): void {
    if (this.pending === undefined || at < this.retryAt) return;
    if (this.retryAt === Number.NEGATIVE_INFINITY) return;
    this.retryAt = Number.NEGATIVE_INFINITY;
    this.send();
  }

  private send(): void {
    const {pending} = this;
    if (pending === undefined) return;
    pending.attempts += 1;
    this.state.emit({kind: 'write', sequence: pending.sequence, write: pending.write});
  }

  private applyWritten(pending: PendingWrite, revision: number, at: number): void {
    const {state} = this;
    state.observe('progress_write', at - pending.sentAt);
    for (const {worker, end} of pending.ends) worker.ends.store(end);
    for (const submission of pending.submissions) {
      if (submission.areCrashesStored || this.changed.has(submission)) continue;
      submission.areCrashesStored = true;
      state.requestPlacement();
    }
    for (const submission of pending.finals) {
      if (submission.isFinalStored) continue;
      submission.isFinalStored = true;
      state.observe(`submission_${submission.final}`, at - submission.arrivedAt);
      state.log({
        event: 'submission-ended',
        submission: submission.id,
        reason: submission.final,
        ageMs: Math.round(at - submission.arrivedAt),
        queue: submission.queue?.name,
        ...submission.endCause,
      });
    }
    if (pending.rosterLives) {
      this.storedRoster = new Set(pending.rosterLives);
      state.token = Math.max(state.token, revision);
      for (const worker of state.workers.values()) {
        if (this.storedRoster.has(worker.life) && !worker.isInRoster) {
          worker.isInRoster = true;
          if (worker.isReborn) worker.requireToken(state.token);
          state.requestPlacement();
        }
      }
    }
  }

  /** Takes changed submissions with up to `maxRecords` records; those with a final state first, because callers wait for it. */
  private takeChanged(): ActiveSubmission[] {
    const finals: ActiveSubmission[] = [];
    const others: ActiveSubmission[] = [];
    for (const submission of this.changed) {
      (submission.final === undefined ? others : finals).push(submission);
    }
    const taken: ActiveSubmission[] = [];
    let records = 0;
    for (const submission of [...finals, ...others]) {
      records += countRecords([submission]);
      if (records > maxRecords) break;
      taken.push(submission);
    }
    for (const submission of taken) this.changed.delete(submission);
    if (this.changed.size === 0) {
      this.isUrgent = false;
      this.changedAt = Number.POSITIVE_INFINITY;
    }
    return taken;
  }

  private getRoster(at: number): RosterEntry[] {
    const {workers, timing} = this.state;
    const present = [...workers.values()].map(worker => ({
      agent: worker.agent,
      life: worker.life,
      // The mark stays until the roster changes again, which at worst delays a recovery.
      ...(worker.hasLongLease(at, timing) && {hasLongLease: true}),
    }));
    const presentIncarnations = new Set(present.map(entry => entry.life));
    return [
      ...present,
      ...this.getUnaccounted().filter(entry => !presentIncarnations.has(entry.life)),
    ];
  }
}

function createStoredProgress(submission: ActiveSubmission): StoredProgress {
  const record = submission.toRecord();
  const {id} = submission;
  if (record.final === undefined) return {id, record};
  return {id, record, finished: toIdentity(submission.submission)};
}

/** Returns the number of records to be written: a final submission replaces its stored submission as well. */
function countRecords(submissions: readonly ActiveSubmission[]): number {
  let records = 0;
  for (const submission of submissions) records += submission.final === undefined ? 1 : 2;
  return records;
}

import type {Reducer} from '../reducer.js';
import {
  getSubmissionId,
  type Queue,
  type Submission,
  type SubmissionStatus,
} from '../submissions/index.js';
import {ActiveSubmission, describeSteps} from './active-submission.js';
import type {DispatchEffect, DispatchEvent, StoredSubmission} from './dispatch-events.js';
import {DispatchState} from './dispatch-state.js';
import {defaultDispatchTiming, type DispatchTiming} from './dispatch-timing.js';
import {FillerPacing} from './policy/filler-pacing.js';
import {Interference} from './policy/interference.js';
import {getQueueLevels, type QueueLevel} from './policy/admission-level.js';
import {runPlacementRound} from './policy/placement-round.js';
import {RunSupervision} from './policy/run-supervision.js';
import {WorkerChoice} from './policy/worker-choice.js';
import {WorkerOutlooks} from './policy/worker-outlook.js';
import {ProgressJournal} from './progress-journal.js';
import {RecoveryBarrier} from './recovery-barrier.js';
import {RunOrders} from './run-orders.js';
import {SubmissionEnds} from './submission-ends.js';
import {WorkerReports} from './worker-reports.js';

/** Run numbers that one owner may use for a task before those of the next owner begin. */
const runsOfOneOwner = 1_000;

/**
 * Decides for all submissions: which task runs where, when it is stopped, and what is stored. One entry at a
 * time owns them; a new owner continues from the store and from what the workers list.
 */
export class Dispatcher implements Reducer<DispatchEvent, DispatchEffect> {
  private readonly state: DispatchState;
  private readonly journal: ProgressJournal;
  private readonly barrier = new RecoveryBarrier();
  private readonly orders: RunOrders;
  private readonly interference = new Interference();
  private readonly outlooks = new WorkerOutlooks(this.interference);
  private readonly supervision: RunSupervision;
  private readonly ends: SubmissionEnds;
  private readonly reports: WorkerReports;
  private isRecovering = false;

  constructor(timing: Partial<DispatchTiming> = {}) {
    this.state = new DispatchState({...defaultDispatchTiming, ...timing});
    this.journal = new ProgressJournal(this.state, () => this.barrier.entries);
    this.orders = new RunOrders(this.state);
    this.supervision = new RunSupervision(this.state, this.orders, at => this.createChoice(at));
    this.ends = new SubmissionEnds(this.state, this.orders, this.journal);
    this.reports = new WorkerReports({
      state: this.state,
      journal: this.journal,
      barrier: this.barrier,
      orders: this.orders,
      supervision: this.supervision,
      ends: this.ends,
      pacing: new FillerPacing(this.state, this.orders, this.interference, this.outlooks),
    });
  }

  /** Whether this process owns the submissions. */
  get isOwner(): boolean {
    return this.state.term > 0;
  }

  /** Fencing token of the ownership; 0 without one. */
  get term(): number {
    return this.state.term;
  }

  /** @inheritdoc */
  reduce(event: DispatchEvent, at: number): readonly DispatchEffect[] {
    if (this.isOwner || event.kind === 'begin' || event.kind === 'configuration') {
      this.apply(event, at);
    }
    return this.state.take();
  }

  /** Returns the state of a submission, or undefined when it is unknown here. */
  getStatus(id: string): SubmissionStatus | undefined {
    return this.state.submissions.get(id)?.status;
  }

  /** Returns the key of the queue of a submission. */
  getQueueOf(id: string): string | undefined {
    return this.state.submissions.get(id)?.submission.queue;
  }

  /** Returns the backlog of each queue. */
  getLevels(at: number): readonly QueueLevel[] {
    return this.isOwner ? getQueueLevels(this.state, at) : [];
  }

  private apply(event: DispatchEvent, at: number): void {
    switch (event.kind) {
      case 'begin':
        return this.begin(event, at);
      case 'end':
        return this.end(event.reason);
      case 'configuration':
        return this.configure(event.configuration);
      case 'submitted':
        this.add({submission: event.submission, cancelled: false}, at, false);
        return;
      case 'cancelled':
        return this.ends.cancel(event.id, at);
      case 'agent-up':
      case 'agent-down':
        return this.reports.setConnected(event.agent, event.kind === 'agent-up', at);
      case 'message':
        return this.reports.receive(event.agent, event.message, at);
      case 'written':
        return this.journal.finish(event.sequence, event.result, at);
      case 'tick':
        return this.tick(event.wallMs, at);
      case 'settle':
        return this.settle(at);
    }
  }

  private begin(event: Extract<DispatchEvent, {kind: 'begin'}>, at: number): void {
    const {state} = this;
    this.clear();
    state.term = event.term;
    state.generation = event.generation;
    state.readWall(event.wallMs, at);
    this.journal.reset(event.roster);
    const {formerOwnerMs, leaseMs, clockDrift} = state.timing;
    this.barrier.begin(event.roster, at + formerOwnerMs + leaseMs / (1 - clockDrift));
    this.isRecovering = true;
    for (const stored of event.submissions) this.add(stored, at, true);
    state.log({
      event: 'ownership-begun',
      term: event.term,
      generation: event.generation,
      submissions: event.submissions.length,
      workers: event.roster.length,
    });
    state.count('ownerships_begun');
  }

  private end(reason: string): void {
    this.state.log({event: 'ownership-ended', term: this.state.term, reason});
    this.clear();
    this.state.term = 0;
  }

  private clear(): void {
    this.state.submissions.clear();
    this.state.workers.clear();
    this.journal.reset([]);
  }

  private configure(
    configuration: Extract<DispatchEvent, {kind: 'configuration'}>['configuration'],
  ) {
    const {state} = this;
    state.configuration = configuration;
    for (const submission of state.submissions.values()) {
      submission.queue = this.getQueue(submission.submission) ?? submission.queue;
    }
    state.isRoundDue = true;
    state.log({event: 'configuration-used', version: configuration.version});
  }

  private getQueue(submission: Submission): Queue | undefined {
    return this.state.configuration?.queues.get(submission.queue);
  }

  private add(stored: StoredSubmission, at: number, isInherited: boolean): void {
    const {state} = this;
    const {submission, progress} = stored;
    if (state.submissions.has(submission.id)) return;
    const ageMs = Math.max(0, state.getWall(at) - submission.acceptedAtMs);
    const active = new ActiveSubmission({
      submission,
      queue: this.getQueue(submission),
      ...(progress && {progress}),
      // Wall clocks of two hosts differ, so the age of new work is not taken from them.
      arrivedAt: isInherited ? at - ageMs : at,
      firstRun: (state.generation - 1) * runsOfOneOwner,
      isUncertain: isInherited && progress?.final === undefined,
    });
    state.submissions.set(submission.id, active);
    if (active.isActive) active.openDue(at, state.getWall(at));
    state.isRoundDue = true;
    state.log({
      event: isInherited ? 'submission-restored' : 'submission-accepted',
      submission: submission.id,
      queue: active.queue?.name,
      steps: describeSteps(submission.steps),
      ...(active.final !== undefined && {reason: active.final}),
    });
    if (!isInherited) state.count('submissions_accepted');
    const wasCancelled = this.ends.takeEarlyCancel(submission.id);
    if (stored.cancelled || wasCancelled) this.ends.cancel(submission.id, at);
    else if (active.isActive && active.isFinished) this.ends.checkFinished(active, at);
  }

  private tick(wallMs: number, at: number): void {
    const {state} = this;
    state.readWall(wallMs, at);
    this.reports.tick(at);
    this.supervision.check(at);
    for (const submission of state.submissions.values()) {
      if (submission.isActive) {
        if (submission.openDue(at, wallMs)) state.isRoundDue = true;
        if (submission.isFinished) this.ends.checkFinished(submission, at);
        submission.dropFinished();
      } else this.ends.forgetOld(submission, at);
    }
    this.ends.forgetEarly(at);
    this.interference.retain(key => state.submissions.get(getSubmissionId(key))?.isActive ?? false);
    state.isRoundDue = true;
    this.journal.retry(at);
    this.settle(at);
  }

  private settle(at: number): void {
    const {state} = this;
    if (this.isRecovering && this.barrier.isOpen(at)) this.finishRecovery(at);
    if (state.isRoundDue) {
      state.isRoundDue = false;
      runPlacementRound(state, this.orders, this.createChoice(at), at);
    }
    this.journal.flush(at);
  }

  private createChoice(at: number): WorkerChoice {
    return new WorkerChoice(this.state, this.interference, this.outlooks, at);
  }

  private finishRecovery(at: number): void {
    const {state} = this;
    this.isRecovering = false;
    for (const submission of state.submissions.values()) submission.clearUncertainty();
    this.journal.changeRoster();
    state.isRoundDue = true;
    state.log({event: 'recovery-finished', term: state.term, workers: state.workers.size, at});
  }
}

import type {EvacuationSet} from '../evacuation/index.js';
import type {Reducer} from '../reducer.js';
import {
  getSubmissionId,
  type QueuePolicy,
  type Submission,
  type SubmissionStatus,
} from '../submissions/index.js';
import {ActiveSubmission} from './active-submission.js';
import {
  countPendingSubmissions,
  getQueueBacklogs,
  type QueueBacklogs,
} from './admission/queue-backlogs.js';
import {describeSteps} from './describe-steps.js';
import type {DispatchEffect, DispatchEvent, StoredSubmission} from './dispatch-events.js';
import {DispatchState} from './dispatch-state.js';
import {defaultDispatchTiming, type DispatchTiming} from './dispatch-timing.js';
import {EvacuationMoves} from './evacuation/evacuation-moves.js';
import {updateEvacuations} from './evacuation/evacuation-updates.js';
import {FillerPacer} from './interference/filler-pacer.js';
import {InterferenceModel} from './interference/interference-model.js';
import {type HeadroomSource, WorkerHeadroomCache} from './interference/worker-headroom.js';
import {isKeptWithoutOwnership} from './kept-events.js';
import {
  collectLearnedState,
  type LearnedState,
  restoreLearnedState,
} from './learned/learned-state.js';
import {AdviceTickets} from './placement/advice-tickets.js';
import {FillerPreemption} from './placement/filler-preemption.js';
import {runPlacementRound} from './placement/placement-round.js';
import type {PlacementScope} from './placement/round-plan.js';
import {RoomReservations} from './placement/room-reservations.js';
import {StarvationGuard} from './placement/starvation-guard.js';
import {type CandidateOrder, sortCandidates} from './placement/submission-order.js';
import {WorkerSelector} from './placement/worker-selector.js';
import {ProgressJournal} from './progress-journal.js';
import {getLeaseEnds, RecoveryBarrier} from './recovery-barrier.js';
import {RunCommands} from './run-commands.js';
import {SubmissionEnds} from './submission-ends.js';
import {SubmissionIntake} from './submission-intake.js';
import {CrashTracker} from './supervision/crash-tracker.js';
import {RunSupervisor} from './supervision/run-supervisor.js';
import {StalledSubmissions} from './waiting/index.js';
import {WorkerReports} from './worker-reports.js';

/** Size of the range of run numbers reserved for each owner, so that the numbers of different owners do not overlap. */
const runNumbersPerOwner = 1_000;

/**
 * Schedules the tasks of all submissions: decides where each runs, when it is stopped, and what is stored. Only one
 * entry at a time, the owner (leader), dispatches; a new owner recovers its state from the store and from the runs
 * that the workers list.
 */
export class Dispatcher implements Reducer<DispatchEvent, DispatchEffect> {
  private readonly state: DispatchState;
  private readonly journal: ProgressJournal;
  private readonly barrier = new RecoveryBarrier();
  private readonly commands: RunCommands;
  private readonly tickets: AdviceTickets;
  private readonly interference = new InterferenceModel();
  private readonly headrooms = new WorkerHeadroomCache(this.interference);
  private readonly reservations: RoomReservations;
  private readonly starvation: StarvationGuard;
  private readonly supervisor: RunSupervisor;
  private readonly stalled: StalledSubmissions;
  private readonly evacuationMoves: EvacuationMoves;
  private readonly ends: SubmissionEnds;
  private readonly crashes: CrashTracker;
  private readonly intake: SubmissionIntake;
  private readonly workerReports: WorkerReports;
  private hasUnknownRuns = false;

  /** `order` replaces the order of waiting work in experiments. */
  constructor(
    timing: Partial<DispatchTiming> = {},
    private readonly order?: CandidateOrder,
  ) {
    this.state = new DispatchState({...defaultDispatchTiming, ...timing});
    this.journal = new ProgressJournal(this.state, () => this.barrier.entries);
    this.tickets = new AdviceTickets(this.state);
    this.commands = new RunCommands(this.state, this.tickets);
    this.reservations = new RoomReservations(this.state, this.commands);
    this.starvation = new StarvationGuard(this.state);
    this.supervisor = new RunSupervisor(this.state, this.commands, at => this.createSelector(at));
    this.stalled = new StalledSubmissions(this.state, at =>
      this.createSelector(at, this.headrooms.latest),
    );
    this.evacuationMoves = new EvacuationMoves({
      state: this.state,
      commands: this.commands,
      reservations: this.reservations,
      supervisor: this.supervisor,
      createSelector: at => this.createSelector(at),
    });
    this.ends = new SubmissionEnds(this.state, this.commands, this.journal);
    this.intake = new SubmissionIntake(this.state, this.ends, (stored, isRestored, at) =>
      this.add(stored, at, isRestored),
    );
    this.crashes = new CrashTracker(this.state, this.journal, this.ends);
    this.workerReports = new WorkerReports({
      state: this.state,
      journal: this.journal,
      barrier: this.barrier,
      commands: this.commands,
      tickets: this.tickets,
      reservations: this.reservations,
      supervisor: this.supervisor,
      ends: this.ends,
      crashes: this.crashes,
      pacer: new FillerPacer(this.state, this.commands, this.interference, this.headrooms),
    });
  }

  /** Whether a previous owner may have started tasks on workers that have not reported yet. */
  get isRecovering(): boolean {
    return this.hasUnknownRuns;
  }

  /** Whether this process is the current owner. */
  get isOwner(): boolean {
    return this.state.term > 0;
  }

  /** Fencing token of the ownership; 0 without one. */
  get term(): number {
    return this.state.term;
  }

  /** Highest fencing token that has been given out. */
  get token(): number {
    return this.state.token;
  }

  /** Evacuated data centres; the revision is 0 when none have been received. */
  get evacuations(): EvacuationSet {
    return this.state.evacuations.current;
  }

  /** Whether tasks of a scope may have become placeable since its last placement round. */
  isPlacementDue(scope: PlacementScope): boolean {
    return this.isOwner && this.state.isPlacementDue(scope);
  }

  /** @inheritdoc */
  reduce(event: DispatchEvent, at: number): readonly DispatchEffect[] {
    if (this.isOwner || isKeptWithoutOwnership(event)) this.apply(event, at);
    return this.state.takeEffects();
  }

  /** Returns the state of a submission, or undefined when this dispatcher does not know it. */
  getStatus(id: string): SubmissionStatus | undefined {
    return this.state.submissions.get(id)?.status ?? this.state.deferred.getStatus(id);
  }

  /**
   * Returns the state of a submission for an entry, or undefined when it is not known. An entry looks a submission up before it
   * refuses it, so the time of an unknown one is remembered.
   */
  lookUp(id: string, at: number): SubmissionStatus | undefined {
    const status = this.getStatus(id);
    const {refused, usesCost} = this.state;
    if (status === undefined && this.isOwner && usesCost) refused.record(id, at);
    return status;
  }

  /** Returns the key of a submission's queue, or undefined when the submission is unknown. */
  getQueueOf(id: string): string | undefined {
    const {submissions, deferred} = this.state;
    return (submissions.get(id) ?? deferred.get(id))?.submission.queue;
  }

  /** Returns the backlogs of all queues, or undefined when this process is not the owner. */
  getQueueBacklogs(at: number): QueueBacklogs | undefined {
    return this.isOwner ? getQueueBacklogs(this.state, at) : undefined;
  }

  /** Returns the number of pending submissions of a queue, or undefined when this process is not the owner. */
  countPending(queue: string): number | undefined {
    return this.isOwner ? countPendingSubmissions(this.state, queue) : undefined;
  }

  /** Returns what this owner has learned, for its successor; undefined when this process is not the owner. */
  getLearned(at: number): LearnedState | undefined {
    return this.isOwner ? collectLearnedState(this.state, this.interference, at) : undefined;
  }

  private apply(event: DispatchEvent, at: number): void {
    switch (event.kind) {
      case 'begin':
        return this.begin(event, at);
      case 'end':
        return this.end(event.reason);
      case 'predecessors-ended':
        return this.limitRecovery(event.agoMs, at);
      case 'configuration':
        return this.configure(event, at);
      case 'evacuations':
        return updateEvacuations(this.state, event.set);
      case 'submitted':
        return this.intake.accept(event.submission, at);
      case 'loaded':
        return this.intake.load(event, at);
      case 'cancelled':
        return this.ends.cancel(event.id, at);
      case 'agent-up':
      case 'agent-down':
        return this.workerReports.setConnected(event.agent, event.kind === 'agent-up', at);
      case 'message':
        return this.workerReports.receive(event.agent, event.message, at);
      case 'written':
        return this.journal.handleResult(event, at);
      case 'advised':
        return this.tickets.receive(event.step, event.reply, at);
      case 'tick':
        return this.tick(event.wallMs, at);
      case 'settle':
        return this.settle(at);
      case 'place':
        return this.place(event.scope ?? 'all', at);
    }
  }

  private begin(event: Extract<DispatchEvent, {kind: 'begin'}>, at: number): void {
    const {state} = this;
    this.clear();
    state.term = event.term;
    state.token = event.term;
    state.generation = event.generation;
    state.setWallClock(event.wallMs, at);
    this.journal.reset(event.roster);
    // The previous owner may grant leases until it stops.
    const previousEndAt = at + state.timing.previousOwnerMaxMs;
    this.barrier.begin(event.roster, getLeaseEnds(state.timing, previousEndAt));
    this.hasUnknownRuns = true;
    const {learned, learnedAt = at} = event;
    const learnedItems = learned
      ? restoreLearnedState(learned, state, this.interference, learnedAt)
      : 0;
    for (const stored of event.submissions) this.add(stored, at, true);
    for (const deferred of event.deferred ?? []) this.intake.defer(deferred, at);
    state.log({
      event: 'ownership-begun',
      term: event.term,
      generation: event.generation,
      submissions: event.submissions.length,
      workers: event.roster.length,
      ...(learned && {learned: learnedItems}),
    });
    state.count('ownerships_begun');
  }

  private limitRecovery(agoMs: number, at: number): void {
    if (!this.isRecovering) return;
    this.barrier.limit(getLeaseEnds(this.state.timing, at - agoMs));
    this.state.log({event: 'predecessors-ended', ageMs: Math.round(agoMs)});
  }

  private end(reason: string): void {
    this.state.log({event: 'ownership-ended', term: this.state.term, reason});
    this.clear();
    this.state.term = 0;
  }

  private clear(): void {
    this.state.submissions.clear();
    this.intake.clear();
    this.state.clearLearned();
    this.state.workers.clear();
    this.state.learnedWorkers.clear();
    this.reservations.clear();
    this.tickets.clear();
    this.starvation.clear();
    this.crashes.clear();
    this.workerReports.clear();
    this.stalled.clear();
    this.journal.reset([]);
  }

  private configure(event: Extract<DispatchEvent, {kind: 'configuration'}>, at: number): void {
    const {state} = this;
    state.configuration = event.configuration;
    for (const submission of state.submissions.values()) {
      const queue = this.getQueue(submission.submission);
      if (queue !== undefined && submission.setQueue(queue) && submission.isActive) {
        this.journal.markChanged(submission, at);
      }
      this.ends.failIfExhausted(submission, at);
    }
    state.requestPlacement();
    state.log({event: 'configuration-used', version: event.configuration.version});
  }

  private getQueue(submission: Submission): QueuePolicy | undefined {
    return this.state.configuration?.queues.get(submission.queue);
  }

  private add(stored: StoredSubmission, at: number, isRestored: boolean): void {
    const {state} = this;
    const {submission, progress} = stored;
    if (state.submissions.has(submission.id)) return;
    // The record of a finished submission without its progress was read while the submission was being removed.
    if (submission.steps.length === 0 && progress === undefined) return;
    const ageMs = Math.max(0, state.getUnixMs(at) - submission.acceptedAtMs);
    const active = new ActiveSubmission({
      submission,
      queue: this.getQueue(submission),
      ...(progress && {progress}),
      // Wall clocks of different hosts disagree, so a new submission counts as just arrived.
      arrivedAt: isRestored ? at - ageMs : (state.refused.take(submission.id) ?? at),
      baseRunNumber: (state.generation - 1) * runNumbersPerOwner,
      isInDoubt: isRestored && progress?.final === undefined,
    });
    state.submissions.set(submission.id, active);
    if (active.isActive) {
      active.openDueOccurrences(at, state.getUnixMs(at));
      state.queueWork.observe(submission.queue, active.work);
    }
    state.requestPlacement();
    state.log({
      event: isRestored ? 'submission-restored' : 'submission-accepted',
      submission: submission.id,
      queue: active.queue?.name,
      steps: describeSteps(submission.steps),
      ...(progress && {finished: active.finishedCount, revision: stored.progressRevision}),
      ...(active.final !== undefined && {reason: active.final}),
    });
    if (!isRestored) state.count('submissions_accepted');
    const wasCancelled = this.ends.takeEarlyCancel(submission.id);
    if (stored.cancelled || wasCancelled) this.ends.cancel(submission.id, at);
    else if (active.isActive && active.isFinished) this.ends.completeIfFinished(active, at);
    else this.ends.failIfExhausted(active, at);
  }

  private tick(wallMs: number, at: number): void {
    const {state} = this;
    state.setWallClock(wallMs, at);
    this.workerReports.tick(at);
    this.intake.tick(this.isRecovering, at);
    this.supervisor.check(at);
    this.evacuationMoves.check(at);
    for (const submission of state.submissions.values()) {
      if (submission.isActive) {
        if (submission.openDueOccurrences(at, wallMs)) {
          this.ends.failIfExhausted(submission, at);
          state.requestPlacement();
        }
        if (submission.isFinished) this.ends.completeIfFinished(submission, at);
        submission.dropFinishedOccurrences();
      } else this.ends.removeExpired(submission, at);
    }
    this.stalled.check(at);
    this.ends.expireEarlyCancels(at);
    const isActive = (task: string) =>
      state.submissions.get(getSubmissionId(task))?.isActive ?? false;
    this.interference.retain(isActive);
    this.tickets.retain(isActive);
    state.requestPlacement();
    this.journal.retryIfDue(at);
  }

  private settle(at: number): void {
    if (this.isRecovering && this.barrier.isOpen(at)) this.finishRecovery(at);
    this.journal.flush(at);
  }

  private place(scope: PlacementScope, at: number): void {
    const {state} = this;
    if (!state.takePlacement(scope)) return;
    this.reservations.update(at);
    const candidates = sortCandidates(state, at, scope, this.order);
    if (candidates.length === 0) return;
    const selector = this.createSelector(at);
    const {commands, reservations, headrooms, tickets} = this;
    const preemption = new FillerPreemption(state, commands, headrooms, at);
    runPlacementRound(
      candidates,
      {state, commands, selector, reservations, preemption, tickets, starvation: this.starvation},
      at,
    );
    if (selector.examinedCount > 0) state.count('workers_examined', selector.examinedCount);
  }

  private createSelector(at: number, headrooms: HeadroomSource = this.headrooms): WorkerSelector {
    const {state, interference, reservations, tickets} = this;
    return new WorkerSelector({state, interference, headrooms, reservations, tickets, at});
  }

  private finishRecovery(at: number): void {
    const {state} = this;
    this.hasUnknownRuns = false;
    this.intake.clearInDoubt();
    this.journal.markRosterChanged();
    state.requestPlacement();
    state.emit({kind: 'recovered'});
    state.log({event: 'recovery-finished', term: state.term, workers: state.workers.size, at});
  }
}

import type {ActiveSubmission} from './active-submission.js';
import {getSubmissionId} from '../submissions/index.js';
import type {AgentMessage, EndRow, RunRow, WorkerDescription} from './agent-messages.js';
import type {DispatchState} from './dispatch-state.js';
import type {FillerPacing} from './policy/filler-pacing.js';
import type {RunSupervision} from './policy/run-supervision.js';
import {OrderResults} from './order-results.js';
import type {ProgressJournal} from './progress-journal.js';
import type {RecoveryBarrier} from './recovery-barrier.js';
import type {RunOrders} from './run-orders.js';
import type {SubmissionEnds} from './submission-ends.js';
import {Run, type Task} from './task.js';
import {WorkerView} from './worker-view.js';

/** Time in milliseconds between a failed run and the next one. */
const failureDelayMs = 100;

/** Parts of the dispatcher that `WorkerReports` uses. */
export interface WorkerReportsOptions {
  readonly state: DispatchState;
  readonly journal: ProgressJournal;
  readonly barrier: RecoveryBarrier;
  readonly orders: RunOrders;
  readonly supervision: RunSupervision;
  readonly ends: SubmissionEnds;
  readonly pacing: FillerPacing;
}

/** Takes in what agents tell of their workers and keeps the leases of the workers. */
export class WorkerReports {
  private readonly results: OrderResults;

  constructor(private readonly parts: WorkerReportsOptions) {
    this.results = new OrderResults(parts.state, parts.orders);
  }

  /** Notes whether an agent is connected. */
  setConnected(agent: string, isConnected: boolean, at: number): void {
    const worker = this.parts.state.workers.get(agent);
    if (worker === undefined) return;
    worker.isConnected = isConnected;
    // Until the agent has listed the runs again, orders of the former connection may be lost.
    worker.isFenced = false;
    if (!isConnected) return;
    worker.heardAt = at;
    worker.renewedAt = Number.NEGATIVE_INFINITY;
  }

  /** Takes in a message of an agent. */
  receive(agent: string, message: AgentMessage, at: number): void {
    const worker = this.parts.state.workers.get(agent);
    switch (message.kind) {
      case 'agent':
        return;
      case 'worker':
        return this.describe(agent, message.worker, at);
      case 'worker-gone':
        this.parts.barrier.account(message.life);
        if (worker?.life === message.life) this.drop(worker, message.reason);
        return;
      case 'report':
        if (worker?.life === message.life) this.report(worker, message, at);
        return;
      case 'result':
        if (worker) this.results.finish(worker, message.order, message.outcome, at);
        return;
    }
  }

  /** Renews leases, resolves orders without an answer, and gives up workers whose lease has run out. */
  tick(at: number): void {
    const {state} = this.parts;
    for (const worker of [...state.workers.values()]) {
      this.checkSilence(worker, at);
      if (!worker.isConnected || at - worker.heardAt >= state.timing.unreachableMs) {
        if (at > worker.getLeaseEnd(state.timing.clockDrift)) this.expire(worker);
        continue;
      }
      this.renew(worker, at);
      if (worker.isFenced) this.results.check(worker, at);
    }
  }

  private describe(agent: string, description: WorkerDescription, at: number): void {
    const {state, barrier, journal} = this.parts;
    const known = state.workers.get(agent);
    if (known?.life === description.life) {
      this.update(known, description, at);
      return;
    }
    const unlisted = known ? [...known.runs.values()].filter(run => !run.isListed) : [];
    if (known) this.drop(known, 'replaced');
    barrier.replace(agent, description.life);
    const worker = new WorkerView(agent, description, at);
    worker.isListed = journal.isListed(description.life);
    state.workers.set(agent, worker);
    this.setLeaving(worker, description, at);
    for (const run of unlisted) this.carryOver(run, worker, at);
    journal.changeRoster();
    state.log({
      event: 'worker-up',
      worker: worker.life,
      agent,
      service: description.service,
      cores: description.capacity.processors,
      reason: description.state,
    });
  }

  /**
   * A worker that starts again may keep its id, and then carries out orders for its former life, also after it has
   * answered one. A run that the former life has not listed is looked for on the next one, and barred there.
   */
  private carryOver(run: Run, worker: WorkerView, at: number): void {
    const next = new Run(run.task, run.number, worker, at);
    run.task.runs.push(next);
    worker.add(next);
  }

  private update(worker: WorkerView, description: WorkerDescription, at: number): void {
    const wasDraining = worker.isDraining;
    worker.description = description;
    worker.heardAt = at;
    if (!wasDraining && worker.isDraining) {
      this.parts.state.log({
        event: 'worker-draining',
        worker: worker.life,
        remainingMs: description.remainingMs,
      });
    }
    this.setLeaving(worker, description, at);
  }

  private setLeaving(worker: WorkerView, description: WorkerDescription, at: number): void {
    worker.leavesAt =
      description.state === 'draining'
        ? at + (description.remainingMs ?? 0)
        : Number.POSITIVE_INFINITY;
  }

  private report(
    worker: WorkerView,
    message: Extract<AgentMessage, {kind: 'report'}>,
    at: number,
  ): void {
    const {state, barrier, pacing} = this.parts;
    if (message.term !== state.term) return;
    worker.heardAt = at;
    worker.readClock(message.clockMs, at);
    for (const end of message.ends) this.finishRun(worker, end, at);
    if (message.running === undefined) return;
    const listed = new Set<Run>();
    for (const row of message.running) {
      const run = this.takeRow(worker, row, at);
      if (run) listed.add(run);
    }
    if (!worker.isFenced) this.fence(worker, listed, at);
    barrier.account(worker.life);
    worker.changes += 1;
    pacing.check(worker, at);
  }

  /** The first list on a connection: what it lacks was not carried out, or must be barred. */
  private fence(worker: WorkerView, listed: ReadonlySet<Run>, at: number): void {
    worker.isFenced = true;
    this.parts.state.isRoundDue = true;
    for (const run of [...worker.runs.values()]) {
      if (listed.has(run)) continue;
      this.parts.orders.resolve(run, 'not-listed', at);
    }
    worker.renewedAt = Number.NEGATIVE_INFINITY;
    this.renew(worker, at);
  }

  private takeRow(worker: WorkerView, row: RunRow, at: number): Run | undefined {
    const [name, number, checkpoint, percent, figure] = row;
    const run = worker.getRun(name, number) ?? this.adopt(worker, name, number, at);
    if (run === undefined) return undefined;
    if (run.state === 'starting') run.state = 'running';
    // The order took effect after all; the run is as good as any other.
    else if (run.state === 'unresolved') run.state = 'stopping';
    run.isListed = true;
    run.task.submission.hasStarted = true;
    if (percent !== run.percent || run.task.step.lasting) {
      if (percent !== run.percent) run.progressAt = at;
      run.percent = percent;
    }
    if (checkpoint !== '' && checkpoint !== run.checkpoint) {
      run.checkpoint = checkpoint;
      run.task.checkpoint = checkpoint;
    }
    run.figure = figure;
    return run;
  }

  /** Takes over a run that a former owner has started, or stops one that must not go on. */
  private adopt(worker: WorkerView, name: string, number: number, at: number): Run | undefined {
    const {state, orders} = this.parts;
    const task = this.getTask(name);
    const log = {submission: getSubmissionId(name), task: name, run: number, worker: worker.life};
    if (task === undefined) {
      // An owner reads all submissions before it begins, so nobody asked for this run.
      state.log({event: 'run-unexpected', ...log, reason: 'unknown-task'});
      this.sendStop(worker, name, number);
      return undefined;
    }
    const run = new Run(task, number, worker, at);
    run.state = 'running';
    const isSpare = task.runs.length > 0 && !task.step.speculative;
    task.lastRun = Math.max(task.lastRun, number);
    task.isUncertain = false;
    task.runs.push(run);
    worker.add(run);
    state.log({event: 'run-adopted', ...log});
    state.count('runs_adopted');
    if (isSpare || task.isFinished || !task.submission.isActive) {
      orders.stop(run, isSpare ? 'runs-elsewhere' : 'not-needed', at);
    }
    return run;
  }

  private sendStop(worker: WorkerView, task: string, run: number): void {
    const {state} = this.parts;
    const {term} = state;
    const order = state.takeOrder();
    state.send(worker.agent, {kind: 'stop', order, life: worker.life, term, task, run});
  }

  private getTask(name: string): Task | undefined {
    const [id = '', occurrence, step, index] = name.split('.');
    const submission = this.parts.state.submissions.get(id);
    return submission?.getTask(Number(occurrence), Number(step), Number(index));
  }

  private finishRun(worker: WorkerView, end: EndRow, at: number): void {
    const {state, journal} = this.parts;
    const [number, name, runNumber, how, checkpoint] = end;
    if (!worker.ends.add(number)) return;
    const run = worker.getRun(name, runNumber);
    const task = run?.task ?? this.getTask(name);
    state.log({
      event: 'run-ended',
      submission: getSubmissionId(name),
      task: name,
      run: runNumber,
      worker: worker.life,
      reason: how,
      ...(run && {ageMs: Math.round(at - run.startedAt), percent: run.percent}),
      end: number,
    });
    state.count(`runs_ended_${how}`);
    if (task === undefined) {
      worker.ends.store(number);
      return;
    }
    task.submission.hasStarted = true;
    task.lastRun = Math.max(task.lastRun, runNumber);
    if (checkpoint !== '') task.checkpoint = checkpoint;
    else if (run && run.checkpoint !== '') task.checkpoint = run.checkpoint;
    if (run) this.parts.orders.remove(run, how === 'failed' ? at + failureDelayMs : undefined);
    const isNews = this.applyEnd(task, run, worker, end, at);
    if (isNews) {
      journal.addEnd(worker, number, task.submission);
      journal.change(task.submission, at);
    } else worker.ends.store(number);
    this.parts.ends.checkFinished(task.submission, at);
  }

  /** Applies the end of a run to its task; returns whether something must be stored. */
  private applyEnd(
    task: Task,
    run: Run | undefined,
    worker: WorkerView,
    end: EndRow,
    at: number,
  ): boolean {
    const {supervision, orders, ends} = this.parts;
    const how = end[3];
    const {submission, step} = task;
    if (!submission.isActive) return false;
    if (how === 'done' && !step.lasting) {
      if (run) {
        supervision.finish(run, at);
        worker.health.succeed(run.startedAt, at);
        submission.countEnd(worker.life, false);
      }
      if (step.gang) this.finishGang(task, submission);
      else submission.finish(task);
      orders.stopAll(task, 'finished-elsewhere', at);
      return true;
    }
    if (how !== 'failed') return false;
    task.avoided.add(worker.life);
    const {failures, ends: count} = submission.getEndsElsewhere(worker.life);
    submission.countEnd(worker.life, true);
    if (worker.health.fail(failures, count, at)) {
      this.parts.state.log({event: 'worker-suspended', worker: worker.life, reason: 'failures'});
    }
    ends.fail(task, end[2], at);
    return !step.lasting;
  }

  /** One finished member finishes the gang. */
  private finishGang(task: Task, submission: ActiveSubmission): void {
    const occurrence = submission.occurrences.find(each => each.index === task.occurrence);
    for (const member of occurrence?.steps[task.stepIndex]?.tasks ?? []) submission.finish(member);
  }

  private renew(worker: WorkerView, at: number): void {
    const {state} = this.parts;
    const acknowledged = worker.ends.value;
    const isDue = at - worker.renewedAt >= state.timing.renewMs;
    if (!worker.hasClock || (!isDue && acknowledged === worker.sentCursor)) return;
    worker.renewedAt = at;
    worker.sentCursor = acknowledged;
    state.send(worker.agent, {
      kind: 'lease',
      life: worker.life,
      term: state.term,
      deadlineMs: worker.grantDeadline(state.timing.leaseMs, at),
      acknowledged,
    });
  }

  private checkSilence(worker: WorkerView, at: number): void {
    const {state} = this.parts;
    const isSilent = !worker.isConnected || at - worker.heardAt >= state.timing.unreachableMs;
    if (isSilent === worker.isSilent) return;
    worker.isSilent = isSilent;
    state.log({
      event: isSilent ? 'worker-unreachable' : 'worker-reachable',
      worker: worker.life,
      ageMs: Math.round(at - worker.heardAt),
      connected: worker.isConnected,
    });
  }

  /** The lease of everything on an unreachable worker has run out. */
  private expire(worker: WorkerView): void {
    for (const run of [...worker.runs.values()]) this.results.lose(run, 'lease-expired');
    if (!worker.isConnected) this.drop(worker, 'lease-expired');
  }

  private drop(worker: WorkerView, reason: string): void {
    const {state, journal} = this.parts;
    for (const run of [...worker.runs.values()]) this.results.lose(run, reason);
    if (state.workers.get(worker.agent) === worker) state.workers.delete(worker.agent);
    journal.changeRoster();
    state.log({event: 'worker-gone', worker: worker.life, reason});
  }
}

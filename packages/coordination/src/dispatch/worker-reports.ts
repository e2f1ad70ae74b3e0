import {getSubmissionId} from '../submissions/index.js';
import type {AgentMessage, RunEndRow, RunRow, WorkerDescription} from './agent-messages.js';
import {CommandResults} from './command-results.js';
import type {FillerPacer} from './interference/filler-pacer.js';
import {restoreLearnedWorker} from './learned/learned-state.js';
import type {AdviceTickets} from './placement/advice-tickets.js';
import type {RecoveryBarrier} from './recovery-barrier.js';
import {RunEnds, type RunEndsOptions} from './run-ends.js';
import {Run} from './task.js';
import {WorkerView} from './worker-view.js';

/** Components of the dispatcher that `WorkerReports` uses. */
export interface WorkerReportsOptions extends RunEndsOptions {
  readonly barrier: RecoveryBarrier;
  readonly tickets: AdviceTickets;
  readonly pacer: FillerPacer;
}

/** Handles the agents' messages about their workers, and grants and expires worker leases. */
export class WorkerReports {
  private readonly commandResults: CommandResults;
  private readonly runEnds: RunEnds;
  /** Agents that have had a worker under this owner. */
  private readonly usedAgents = new Set<string>();

  constructor(private readonly components: WorkerReportsOptions) {
    this.runEnds = new RunEnds(components);
    this.commandResults = new CommandResults(
      components.state,
      components.commands,
      components.tickets,
    );
  }

  /** Forgets what is known of the agents, as another ownership begins. */
  clear(): void {
    this.usedAgents.clear();
  }

  /** Records whether an agent is connected. */
  setConnected(agent: string, isConnected: boolean, at: number): void {
    const worker = this.components.state.workers.get(agent);
    if (worker === undefined) return;
    worker.isConnected = isConnected;
    // Commands sent on the previous connection may be lost, so the runs must be reconciled first.
    worker.isReconciled = false;
    worker.sentSpecs.clear();
    if (!isConnected) return;
    worker.lastContactAt = at;
    worker.leaseSentAt = Number.NEGATIVE_INFINITY;
  }

  /** Handles a message from an agent. */
  receive(agent: string, message: AgentMessage, at: number): void {
    const worker = this.components.state.workers.get(agent);
    switch (message.kind) {
      case 'agent':
        return;
      case 'worker':
        return this.registerWorker(agent, message, at);
      case 'worker-gone':
        this.components.barrier.markAccounted(message.life);
        if (worker?.life === message.life) {
          this.removeWorker(worker, message.reason, at, getSilentAt(message, at));
        }
        return;
      case 'report':
        if (worker?.life === message.life) this.report(worker, message, at);
        return;
      case 'result':
        if (worker) this.commandResults.handleResult(worker, message, at);
        return;
    }
  }

  /** Renews leases, resolves unanswered commands, and declares runs lost on workers whose lease has expired. */
  tick(at: number): void {
    const {state} = this.components;
    for (const worker of [...state.workers.values()]) {
      this.updateReachability(worker, at);
      if (!worker.isConnected || at - worker.lastContactAt >= state.timing.unreachableMs) {
        if (at > worker.getLeaseEnd(state.timing)) this.expireLease(worker, at);
        continue;
      }
      this.renew(worker, at);
      this.components.pacer.pauseFillers(worker, at);
      if (worker.isReconciled) this.commandResults.resolveOverdue(worker, at);
    }
  }

  private registerWorker(
    agent: string,
    {worker: description, former}: Extract<AgentMessage, {kind: 'worker'}>,
    at: number,
  ): void {
    const {state, barrier, journal, crashes} = this.components;
    const currentWorker = state.workers.get(agent);
    const formerEnd = former && {life: former.life, silentAt: getSilentAt(former, at)};
    crashes.recordPresence(agent, description.life, at, formerEnd);
    if (currentWorker?.life === description.life) {
      this.updateDescription(currentWorker, description, at);
      return;
    }
    const unlisted = currentWorker
      ? [...currentWorker.runs.values()].filter(run => !run.isListed)
      : [];
    if (currentWorker) {
      const silentAt = formerEnd?.life === currentWorker.life ? formerEnd.silentAt : undefined;
      this.removeWorker(currentWorker, 'replaced', at, silentAt);
    }
    barrier.markReplaced(agent, description.life);
    const worker = new WorkerView(agent, description, at);
    worker.isInRoster = journal.isInStoredRoster(description.life);
    worker.isReborn = this.usedAgents.has(agent);
    worker.token = worker.isReborn ? state.token : state.term;
    this.usedAgents.add(agent);
    restoreLearnedWorker(worker, state, at);
    state.workers.set(agent, worker);
    this.updateTimes(worker, description, at);
    for (const run of unlisted) this.carryOverRun(run, worker, at);
    journal.markRosterChanged();
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
   * Moves a run to the worker's new incarnation. A restarted worker may keep its id and execute commands that were
   * sent to its previous incarnation, even accepted ones. So a run that the previous incarnation never listed may
   * run on the new one; if the new one does not list it either, it is stopped.
   */
  private carryOverRun(run: Run, worker: WorkerView, at: number): void {
    const carriedRun = new Run(run.task, run.number, worker, at);
    carriedRun.isCarriedOver = true;
    run.task.add(carriedRun);
    worker.add(carriedRun);
  }

  private updateDescription(worker: WorkerView, description: WorkerDescription, at: number): void {
    const wasDraining = worker.isDraining;
    worker.description = description;
    worker.lastContactAt = at;
    if (!wasDraining && worker.isDraining) {
      this.components.state.log({
        event: 'worker-draining',
        worker: worker.life,
        remainingMs: description.remainingMs,
      });
    }
    this.updateTimes(worker, description, at);
  }

  /** Updates the times at which a draining worker leaves and a cold one is warm. */
  private updateTimes(worker: WorkerView, description: WorkerDescription, at: number): void {
    const {coldMs = 0} = description;
    worker.coldUntil = coldMs > 0 ? at + coldMs : Math.min(worker.coldUntil, at);
    worker.leavesAt =
      description.state === 'draining'
        ? at + (description.remainingMs ?? 0)
        : Number.POSITIVE_INFINITY;
  }

  /**
   * Applies a report of runs and run ends. A report from before the worker saw this owner's fencing token is ignored,
   * because the worker may have executed commands of a previous owner after it.
   */
  private report(
    worker: WorkerView,
    message: Extract<AgentMessage, {kind: 'report'}>,
    at: number,
  ): void {
    const {state, barrier, pacer} = this.components;
    if (message.term !== state.term) return;
    worker.lastContactAt = at;
    worker.lastReportAt = at;
    worker.recordClock(message.clockMs, at);
    if (!this.applyEnds(worker, message.ends, at)) return;
    if (message.running === undefined) return;
    const listed = new Set<Run>();
    for (const row of message.running) {
      const run = this.isDeferred(row[0]) ? undefined : this.applyRunRow(worker, row, at);
      if (run) listed.add(run);
    }
    // Without all ends, a run that has ended would pass for one that never started.
    if (message.hasMoreEnds) return;
    // Until it has seen its token, the worker may execute calls that were meant for its former incarnation.
    if (message.token !== undefined && message.token < worker.token) return;
    worker.listedAt = at;
    worker.recordToken(at);
    if (!worker.isReconciled) this.fence(worker, listed, at);
    barrier.markAccounted(worker.life);
    worker.changes += 1;
    pacer.update(worker, at);
  }

  /** Handles the first list of runs on a connection: runs that it omits must be prevented from starting later. */
  private fence(worker: WorkerView, listed: ReadonlySet<Run>, at: number): void {
    worker.isReconciled = true;
    this.components.state.requestPlacement();
    for (const run of [...worker.runs.values()]) {
      if (listed.has(run)) continue;
      this.components.commands.resolveUnanswered(run, 'not-listed', at);
    }
    worker.leaseSentAt = Number.NEGATIVE_INFINITY;
    this.renew(worker, at);
  }

  /** Applies ends in order; returns false when one, and so those after it, must wait for a submission to be loaded. */
  private applyEnds(worker: WorkerView, ends: readonly RunEndRow[], at: number): boolean {
    const listed = [...worker.heldEnds, ...ends];
    const firstHeld = listed.findIndex(([, task]) => this.isDeferred(task));
    worker.heldEnds = firstHeld < 0 ? [] : listed.slice(firstHeld);
    for (const end of firstHeld < 0 ? listed : listed.slice(0, firstHeld)) {
      this.runEnds.apply(worker, end, at);
    }
    return firstHeld < 0;
  }

  /** Whether the submission of a task has not been loaded; it is then loaded as soon as possible. */
  private isDeferred(task: string): boolean {
    const {deferred} = this.components.state;
    const id = getSubmissionId(task);
    deferred.want(id);
    return deferred.has(id);
  }

  private applyRunRow(worker: WorkerView, row: RunRow, at: number): Run | undefined {
    const [name, number, checkpoint, percent, measurement] = row;
    const run = worker.getRun(name, number) ?? this.adoptRun(worker, row, at);
    if (run === undefined) return undefined;
    if (run.state === 'starting') run.state = 'running';
    // The start took effect although it had no answer; a stop has already been sent.
    else if (run.state === 'unresolved') run.state = 'stopping';
    run.isListed = true;
    this.components.crashes.recordWork(run, at);
    run.task.submission.hasStarted = true;
    if (percent !== run.percent || run.task.step.lasting) {
      if (percent !== run.percent) run.progressAt = at;
      run.percent = percent;
    }
    if (checkpoint !== '' && checkpoint !== run.checkpoint) {
      run.checkpoint = checkpoint;
      run.task.checkpoint = checkpoint;
    }
    run.measurement = measurement;
    return run;
  }

  /** Adopts a run that a previous owner started, or stops it when it is unknown, a duplicate or no longer needed. */
  private adoptRun(worker: WorkerView, row: RunRow, at: number): Run | undefined {
    const {state, commands} = this.components;
    const [name, number, , percent] = row;
    const task = state.getNamedTask(name, at);
    const log = {submission: getSubmissionId(name), task: name, run: number, worker: worker.life};
    if (task === undefined) {
      // An owner reads all submissions before it dispatches, so this run belongs to none of them.
      state.log({event: 'run-unexpected', ...log, reason: 'unknown-task'});
      this.sendStop(worker, name, number);
      return undefined;
    }
    const run = new Run(task, number, worker, at);
    run.state = 'running';
    run.adoptedPercent = percent;
    run.isPaceUnsure = task.step.fills;
    const isDuplicate = task.runs.length > 0 && !task.step.speculative;
    task.lastRunNumber = Math.max(task.lastRunNumber, number);
    task.hasStarted = true;
    task.isInDoubt = false;
    task.add(run);
    worker.add(run);
    state.log({event: 'run-adopted', ...log});
    state.count('runs_adopted');
    if (isDuplicate || task.isFinished || !task.submission.isActive) {
      commands.stop(run, isDuplicate ? 'runs-elsewhere' : 'not-needed', at);
    }
    return run;
  }

  private sendStop(worker: WorkerView, task: string, run: number): void {
    const {state} = this.components;
    const {term} = state;
    const order = state.takeCommandNumber();
    state.send(worker.agent, {kind: 'stop', order, life: worker.life, term, task, run});
  }

  /** Renews a worker's lease when that is due or when further run ends can be acknowledged. */
  private renew(worker: WorkerView, at: number): void {
    const {state} = this.components;
    const acknowledged = worker.ends.value;
    const isDue = at - worker.leaseSentAt >= state.timing.renewMs;
    if (!worker.hasClock || (!isDue && acknowledged === worker.sentAcknowledgement)) return;
    worker.leaseSentAt = at;
    worker.sentAcknowledgement = acknowledged;
    state.send(worker.agent, {
      kind: 'lease',
      life: worker.life,
      term: state.term,
      token: worker.token,
      deadlineMs: worker.grantDeadline(state.timing.leaseMs, at),
      acknowledged,
    });
  }

  private updateReachability(worker: WorkerView, at: number): void {
    const {state} = this.components;
    const isUnreachable =
      !worker.isConnected || at - worker.lastContactAt >= state.timing.unreachableMs;
    if (isUnreachable === worker.isLoggedUnreachable) return;
    worker.isLoggedUnreachable = isUnreachable;
    state.log({
      event: isUnreachable ? 'worker-unreachable' : 'worker-reachable',
      worker: worker.life,
      ageMs: Math.round(at - worker.lastContactAt),
      connected: worker.isConnected,
    });
  }

  /** Declares all runs on an unreachable worker lost, because its lease has expired. */
  private expireLease(worker: WorkerView, at: number): void {
    this.components.crashes.recordSilence(worker, at);
    for (const run of [...worker.runs.values()])
      this.commandResults.removeLost(run, 'lease-expired');
    if (!worker.isConnected) this.removeWorker(worker, 'lease-expired', at);
  }

  private removeWorker(worker: WorkerView, reason: string, at: number, silentAt?: number): void {
    const {state, journal, crashes} = this.components;
    if (reason !== 'lease-expired') crashes.recordEnd(worker, {reason, at, silentAt});
    for (const run of [...worker.runs.values()]) this.commandResults.removeLost(run, reason);
    if (state.workers.get(worker.agent) === worker) state.workers.delete(worker.agent);
    journal.markRosterChanged();
    state.log({event: 'worker-gone', worker: worker.life, reason});
  }
}

/** Returns the time at which a worker stopped answering its agent; undefined when the agent does not tell it. */
function getSilentAt({silentMs}: {readonly silentMs?: number}, at: number): number | undefined {
  return silentMs === undefined ? undefined : at - Math.max(0, silentMs);
}

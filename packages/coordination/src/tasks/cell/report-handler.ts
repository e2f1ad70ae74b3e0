import type {ColocationAction, ColocationAdvisor} from '../../colocation/colocation-policy.js';
import type {AttemptReport, Report} from '../../messages/control.js';
import type {CellHost} from './cell-host.js';
import type {CellState} from './cell-state.js';
import type {CellSchedulerEffect} from '../events.js';
import type {LedgerKeeper, PendingAcknowledgement} from '../ledger/ledger-keeper.js';
import type {RunTimeEstimates} from '../round/run-time-estimates.js';
import type {SizeEstimates} from '../round/size-estimates.js';
import type {TaskRun} from './task-run.js';
import {leaseWaitMs} from '../timing.js';

/** Number of consecutive failures of a task at which a finding is reported. */
const findingFailureCount = 3;

/** Report that arrived before the ledger was claimed. */
interface DeferredReport {
  readonly host: string;
  readonly report: AttemptReport;
}

/** Applies agents' reports to the state and the ledger. */
export class ReportHandler {
  /** Cell and term in the messages sent to agents. */
  cell = '';
  term = 0;
  /** Opened workloads whose unreported tasks a previous owner may have started. */
  readonly blockedWorkloads = new Set<string>();
  /** Actions of the colocation policy that the scheduler has not yet applied. */
  pendingActions: ColocationAction[] = [];
  private deferred: DeferredReport[] = [];
  private effects: CellSchedulerEffect[] = [];

  constructor(
    private readonly state: CellState,
    private readonly ledger: LedgerKeeper,
    private readonly runTimes: RunTimeEstimates,
    private readonly sizes: SizeEstimates,
    private readonly colocation: ColocationAdvisor,
  ) {}

  /** Starts a term and drops the deferred reports of earlier ones. */
  startTerm(term: number): void {
    this.term = term;
    this.deferred = [];
    this.blockedWorkloads.clear();
  }

  /** Applies a report and returns the effects. Attempts reported before the ledger is claimed are deferred. */
  apply(hostName: string, report: Report, at: number): CellSchedulerEffect[] {
    this.effects = [];
    const host = this.state.hosts.get(hostName);
    if (!host) return [];
    if (report.full) this.applyFullReport(host, report);
    for (const attempt of report.attempts) {
      if (this.ledger.ready) this.applyAttempt(host, attempt, at);
      else this.deferred.push({host: hostName, report: attempt});
    }
    return this.effects;
  }

  /** Applies the reports that arrived before the ledger was claimed. */
  applyDeferred(at: number, effects: CellSchedulerEffect[]): void {
    this.effects = effects;
    const deferred = this.deferred;
    this.deferred = [];
    for (const {host: name, report} of deferred) {
      const host = this.state.hosts.get(name);
      if (host) this.applyAttempt(host, report, at);
    }
  }

  /** Sends acknowledgements, one message per host, and requeues the tasks whose settling attempts are now stored. */
  acknowledge(
    acknowledgements: readonly PendingAcknowledgement[],
    effects: CellSchedulerEffect[],
  ): void {
    const byHost = new Map<string, Array<{task: string; attempt: number}>>();
    for (const {host, task, attempt} of acknowledgements) {
      const attempts = byHost.get(host) ?? [];
      attempts.push({task, attempt});
      byHost.set(host, attempts);
      const run = this.state.runs.get(task);
      if (run?.attempt === attempt && run.state === 'settling') {
        this.state.removeRun(run)?.requeue(run.index);
      }
    }
    for (const [host, attempts] of byHost) {
      effects.push({kind: 'send', host, message: {kind: 'acknowledge', term: this.term, attempts}});
    }
  }

  /** Returns the stop message for a run. */
  createStop(run: TaskRun): CellSchedulerEffect {
    const reason = run.stopReason ?? 'cancelled';
    const checkpoint = reason === 'evicted' || reason === 'drained' || reason === 'moved';
    const {cell, term} = this;
    const {id: task, attempt} = run;
    const message = {kind: 'stop', cell, term, task, attempt, checkpoint, reason} as const;
    return {kind: 'send', host: run.host, message};
  }

  /** Returns a finding for each workload with tasks that a previous owner may have started on unreachable hosts. */
  findPossiblyRunning(): Array<{workload: string; reason: 'possibly-running'; detail: string}> {
    return [...this.blockedWorkloads].flatMap(workload => {
      const waiting = this.state.jobs.get(workload)?.waiting ?? 0;
      if (waiting === 0) return [];
      const detail = `${waiting} tasks may run on unreachable hosts; an operator may declare the loss`;
      return [{workload, reason: 'possibly-running' as const, detail}];
    });
  }

  /** Returns the throttle message for a run. */
  createThrottle(run: TaskRun): CellSchedulerEffect {
    const {cell, term} = this;
    const {id: task, attempt, fraction} = run;
    const message = {kind: 'throttle', cell, term, task, attempt, fraction} as const;
    return {kind: 'send', host: run.host, message};
  }

  /**
   * Marks the runs missing from a full report, which lists every attempt on the host, as lost. They are released only
   * after the lease wait, because a start message may still be in transit.
   */
  private applyFullReport(host: CellHost, report: Report): void {
    host.hasReported = true;
    const listed = new Set(report.attempts.map(entry => `${entry.task} ${entry.attempt}`));
    for (const run of [...host.runs.values()]) {
      if (run.state === 'settling' || listed.has(`${run.id} ${run.attempt}`)) continue;
      run.state = 'lost';
      run.releaseAt = Math.min(run.releaseAt, host.grantedAt + leaseWaitMs);
    }
  }

  private applyAttempt(host: CellHost, report: AttemptReport, at: number): void {
    const run = this.state.runs.get(report.task);
    if (run && run.attempt === report.attempt && run.host === host.name) {
      this.updateRun(host, run, report, at);
    } else if (report.state === 'running' || report.state === 'starting') {
      this.adopt(host, run, report, at);
    } else {
      this.applyStaleTerminalReport(host, run, report, at);
    }
  }

  private updateRun(host: CellHost, run: TaskRun, report: AttemptReport, at: number): void {
    if (report.usage) this.recordUsage(host, run, report, at);
    switch (report.state) {
      case 'starting':
      case 'running':
        if (run.state === 'starting' || run.state === 'lost') {
          run.state = run.stopReason ? 'stopping' : 'running';
          run.releaseAt = Number.POSITIVE_INFINITY;
        }
        this.recordCheckpoint(run, report, at);
        break;
      case 'finished':
        this.finish(host, run, report, at);
        break;
      case 'stopped':
        this.end(host, run, report);
        break;
      case 'failed':
      case 'refused':
        this.fail(host, run, report, at);
        break;
    }
  }

  private recordUsage(host: CellHost, run: TaskRun, report: AttemptReport, at: number): void {
    const usage = report.usage;
    if (usage?.latencyRatio !== undefined && run.kind === 'service') {
      host.latencyRatio = usage.latencyRatio;
      const actions = this.colocation.report(host, run.workload, usage.latencyRatio, at);
      this.pendingActions.push(...actions);
    }
    if (usage?.progress !== undefined) run.progress = usage.progress;
    const declared = this.state.jobs.get(run.workload)?.workload.resources.processors;
    if (usage && declared !== undefined && run.fraction === 1) {
      this.sizes.observe(run.team, run.workload, declared, usage.processors);
    }
  }

  private recordCheckpoint(run: TaskRun, report: AttemptReport, at: number): void {
    if (report.checkpoint === undefined || report.checkpoint === run.checkpoint) return;
    run.checkpoint = report.checkpoint;
    run.checkpointAt = at;
    if (!this.state.jobs.get(run.workload)) return;
    const evictions = this.ledger.getTask(run.id)?.evictions ?? 0;
    this.ledger.putTask(run.id, {checkpoint: report.checkpoint, attempt: run.attempt, evictions});
  }

  private finish(host: CellHost, run: TaskRun, report: AttemptReport, at: number): void {
    host.health.recordSuccess(run.startedAt);
    const job = this.state.removeRun(run);
    if (job && job.workload.kind === 'batch') {
      job.clearFailures(run.index);
      this.ledger.recordFinished(job.name, run.index, job.workload.tasks);
      job.finished += 1;
      if (job.workload.runTimeSeconds !== undefined && run.startedWithoutCheckpoint) {
        const seconds = (at - run.startedAt) / 1000;
        this.runTimes.observe(run.team, run.workload, job.workload.runTimeSeconds, seconds);
      }
    } else if (job) {
      // Services and watches run indefinitely, so a finished one is restarted with backoff.
      job.requeueFailed(run.index, at);
    }
    this.acknowledgeLater(host, report);
  }

  /** The task of a stopped attempt is requeued only after its checkpoint is in the ledger. */
  private end(host: CellHost, run: TaskRun, report: AttemptReport): void {
    if (run.state === 'settling') {
      this.acknowledgeLater(host, report);
      return;
    }
    const job = this.state.jobs.get(run.workload);
    if (job?.runs.get(run.index) !== run) {
      this.state.removeRun(run);
      this.acknowledgeNow(host, report);
      return;
    }
    const evicted = run.stopReason === 'evicted' || run.stopReason === 'moved' ? 1 : 0;
    const previous = this.ledger.getTask(run.id);
    const checkpoint = report.checkpoint ?? previous?.checkpoint;
    if (checkpoint === undefined && evicted === 0) {
      this.state.removeRun(run)?.requeue(run.index);
      this.acknowledgeNow(host, report);
      return;
    }
    const evictions = (previous?.evictions ?? 0) + evicted;
    this.ledger.putTask(run.id, {checkpoint, attempt: run.attempt, evictions});
    run.state = 'settling';
    this.state.releaseReservation(run);
    this.acknowledgeLater(host, report);
  }

  private fail(host: CellHost, run: TaskRun, report: AttemptReport, at: number): void {
    const job = this.state.removeRun(run);
    this.acknowledgeNow(host, report);
    this.effects.push({kind: 'count', name: `tasks-${report.state}`, by: 1});
    if (report.state === 'failed' && host.health.recordFailure(run.workload, at)) {
      const detail = `worker of ${host.name} fails its tasks; suspended until ${host.health.suspensionEndsAt}`;
      this.effects.push({
        kind: 'finding',
        workload: run.workload,
        reason: 'worker-suspended',
        detail,
      });
    }
    const failures = job?.requeueFailed(run.index, at) ?? 0;
    if (job && failures === findingFailureCount) {
      const detail = `task ${run.index} failed ${failures} times: ${report.detail ?? 'no detail'}`;
      this.effects.push({kind: 'finding', workload: job.name, reason: 'repeated-failures', detail});
    }
  }

  /** Adopts an attempt that a previous owner started, or stops it when the task is not needed or has a newer attempt. */
  private adopt(
    host: CellHost,
    currentRun: TaskRun | undefined,
    report: AttemptReport,
    at: number,
  ): void {
    const separator = report.task.lastIndexOf('/');
    const workload = report.task.slice(0, separator);
    const index = Number(report.task.slice(separator + 1));
    const job = this.state.jobs.get(workload);
    const hasNewerAttempt = currentRun !== undefined && currentRun.attempt > report.attempt;
    const isWanted =
      job !== undefined &&
      index < job.workload.tasks &&
      !this.ledger.isFinished(workload, index) &&
      !hasNewerAttempt;
    if (currentRun && !hasNewerAttempt) this.state.removeRun(currentRun);
    // A previous owner may have extended the lease up to now, so the lease wait starts here.
    host.grantedAt = Math.max(host.grantedAt, at);
    const run: TaskRun = {
      id: report.task,
      workload,
      team: job?.workload.team ?? '',
      kind: job?.workload.kind ?? 'batch',
      urgency: job?.workload.urgency ?? 'background',
      index,
      attempt: report.attempt,
      host: host.name,
      reserved: job?.workload.resources ?? {
        processors: 0,
        memoryMb: 0,
        accelerators: 0,
        slots: 0,
      },
      startedAt: at,
      startedWithoutCheckpoint: false,
      usesLentQuota: false,
      state: isWanted ? 'running' : 'stopping',
      stopReason: isWanted ? undefined : hasNewerAttempt ? 'superseded' : 'cancelled',
      stopSentAt: Number.NEGATIVE_INFINITY,
      releaseAt: Number.POSITIVE_INFINITY,
      fraction: 1,
      progress: report.usage?.progress ?? 0,
      checkpointAt: at,
      checkpoint: report.checkpoint,
    };
    // An adopted attempt counts as a start, so that a new owner may evict for urgent work at once.
    if (isWanted) this.state.starts += 1;
    if (!hasNewerAttempt) this.state.addRun(run);
    else this.effects.push(this.createStop(run));
  }

  /** Applies a terminal report of an attempt that is not the current one of its task. */
  private applyStaleTerminalReport(
    host: CellHost,
    run: TaskRun | undefined,
    report: AttemptReport,
    at: number,
  ): void {
    const separator = report.task.lastIndexOf('/');
    const job = this.state.jobs.get(report.task.slice(0, separator));
    const index = Number(report.task.slice(separator + 1));
    if (!job || (run && run.attempt > report.attempt && report.state !== 'finished')) {
      this.acknowledgeNow(host, report);
      return;
    }
    if (report.state === 'finished' && job.workload.kind === 'batch') {
      if (!this.ledger.isFinished(job.name, index)) {
        this.ledger.recordFinished(job.name, index, job.workload.tasks);
        job.finished += 1;
      }
      if (run && run.state !== 'settling') {
        run.stopReason = 'superseded';
        run.state = run.state === 'lost' ? 'lost' : 'stopping';
        run.stopSentAt = at;
        this.effects.push(this.createStop(run));
      }
    } else if (report.state === 'stopped' && report.checkpoint !== undefined) {
      const {checkpoint, attempt} = report;
      const previous = this.ledger.getTask(report.task);
      if ((previous?.attempt ?? 0) <= attempt) {
        const evictions = previous?.evictions ?? 0;
        this.ledger.putTask(report.task, {checkpoint, attempt, evictions});
      }
    }
    this.acknowledgeLater(host, report);
  }

  private acknowledgeLater(host: CellHost, report: AttemptReport): void {
    const {task, attempt} = report;
    this.ledger.acknowledgeAfterWrite({host: host.name, task, attempt});
  }

  private acknowledgeNow(host: CellHost, report: AttemptReport): void {
    const attempts = [{task: report.task, attempt: report.attempt}];
    this.effects.push({
      kind: 'send',
      host: host.name,
      message: {kind: 'acknowledge', term: this.term, attempts},
    });
  }
}

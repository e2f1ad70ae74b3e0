import {getCellConfiguration, getDeclaredName} from '../configuration/cell-shares.js';
import {ColocationPolicy, type ColocationAdvisor} from '../colocation/colocation-policy.js';
import type {Configuration, Workload} from '../configuration/document.js';
import type {Resources} from '../messages/identity.js';
import type {Heartbeat} from '../messages/control.js';
import type {Reducer} from '../reducer.js';
import type {CellHost} from './cell/cell-host.js';
import {CellState} from './cell/cell-state.js';
import type {CellSchedulerEffect, CellSchedulerEvent, OwnershipMode} from './events.js';
import {applyAnnounce, applyHostDown, applyHostUp} from './cell/host-events.js';
import {FindingReporter} from './cell/finding-reporter.js';
import {Job} from './cell/job.js';
import {LedgerKeeper, type LedgerProgress} from './ledger/ledger-keeper.js';
import {ReportHandler} from './cell/report-handler.js';
import {DueDatePlanner} from './round/due-date-planner.js';
import {defaultRoundPolicy, type RoundPolicy} from './round/round-policy.js';
import {RunTimeEstimates} from './round/run-time-estimates.js';
import {SizeEstimates} from './round/size-estimates.js';
import {SchedulingRound, type Decision, type RoundContext} from './round/scheduling-round.js';
import type {StopReason, TaskRun} from './cell/task-run.js';
import {findDrainableRuns, findUnansweredStops, releaseLostRuns} from './cell/run-maintenance.js';
import {attemptsPerTerm, possiblyRunningLimitMs, leaseWaitMs, taskLeaseMs} from './timing.js';

/** Settings of a cell scheduler. */
export interface CellSchedulerOptions {
  readonly cell: string;
  /** Limits interference between batch tasks and services; `ColocationPolicy` by default. */
  readonly colocation?: ColocationAdvisor;
  /** Overrides of `defaultRoundPolicy`. */
  readonly policy?: Partial<RoundPolicy>;
}

/** Schedules the tasks of one cell while this process owns it. */
export class CellScheduler implements Reducer<CellSchedulerEvent, CellSchedulerEffect> {
  private mode: OwnershipMode = 'none';
  private term = 0;
  private sequence = 0;
  private ownedAt = 0;
  private ownershipUntil = Number.POSITIVE_INFINITY;
  private unreportedBlockedUntil = Number.POSITIVE_INFINITY;
  private configuration?: Configuration;
  private effects: CellSchedulerEffect[] = [];
  private readonly state = new CellState();
  private readonly ledger = new LedgerKeeper();
  private readonly runTimes = new RunTimeEstimates();
  private readonly sizes = new SizeEstimates();
  private readonly planner: DueDatePlanner;
  private readonly policy: RoundPolicy;
  private readonly findings = new FindingReporter();
  private readonly reports: ReportHandler;
  private readonly colocation: ColocationAdvisor;

  constructor(private readonly options: CellSchedulerOptions) {
    this.policy = {...defaultRoundPolicy, ...options.policy};
    this.planner = new DueDatePlanner(this.state, this.runTimes, this.policy.isLearning, workload =>
      this.getReservation(workload),
    );
    this.colocation = options.colocation ?? new ColocationPolicy();
    this.reports = new ReportHandler(
      this.state,
      this.ledger,
      this.runTimes,
      this.sizes,
      this.colocation,
    );
    this.reports.cell = options.cell;
  }

  /** @inheritdoc */
  reduce(event: CellSchedulerEvent, at: number): readonly CellSchedulerEffect[] {
    this.effects = [];
    this.apply(event, at);
    if (at < this.ownershipUntil) return this.effects;
    // A process that was paused past the end of its ownership must not extend leases or start tasks.
    return this.effects.filter(effect => effect.kind !== 'send');
  }

  /** Current hosts, jobs and runs, for status displays and forecasts. Callers must not modify the result. */
  getState(): CellState {
    return this.state;
  }

  /** Returns the context of a forecast round, which uses up no attempt numbers and treats all workloads as opened. */
  getForecastContext(at: number): RoundContext {
    return {...this.getContext(at), isOpened: () => true, getNextAttemptNumber: () => 0};
  }

  private apply(event: CellSchedulerEvent, at: number): void {
    switch (event.kind) {
      case 'tick':
        if (event.wallTimeMs !== undefined) this.planner.wallClockOffsetMs = event.wallTimeMs - at;
        this.tick(at);
        break;
      case 'ownership':
        this.ownershipUntil = event.until ?? Number.POSITIVE_INFINITY;
        this.setOwnership(event.mode, event.term, at);
        break;
      case 'ledger-read':
        this.progress(this.ledger.onRead(event.record, event.revision, at), at);
        break;
      case 'ledger-written': {
        const revision = event.revision ?? 0;
        this.progress(this.ledger.onWritten(event.sequence, event.result, revision, at), at);
        break;
      }
      case 'configuration':
        if (event.configuration.version < (this.configuration?.version ?? 0)) break;
        this.configuration = getCellConfiguration(event.configuration, this.options.cell);
        if (this.isActive()) this.reconcile(at);
        this.runRound(at);
        break;
      case 'host-up':
        applyHostUp(this.state, event.host, event.hello, event.announce);
        break;
      case 'host-down':
        applyHostDown(this.state, event.host);
        break;
      case 'announce':
        applyAnnounce(this.state, event.host, event.message);
        break;
      case 'heartbeat':
        this.heartbeat(event.host, event.message, at);
        break;
      case 'report':
        if (this.mode === 'none') break;
        this.effects.push(...this.reports.apply(event.host, event.message, at));
        this.applyColocationActions(at);
        break;
      case 'fence-complete':
        this.unreportedBlockedUntil = event.unreportedBlockedUntil;
        this.updateBlocks();
        break;
      case 'loss':
        this.releaseLostHost(event.host, at);
        break;
    }
  }

  private isActive(): boolean {
    return this.mode !== 'none' && this.ledger.ready;
  }

  private tick(at: number): void {
    if (this.mode === 'none') return;
    this.releaseLost(at);
    for (const host of this.state.hosts.values()) this.colocation.sample(host, at);
    for (const run of findUnansweredStops(this.state, at)) this.sendStop(run, at);
    if (this.isActive() && this.mode === 'owner') {
      for (const run of findDrainableRuns(this.state)) this.stop(run, 'drained', at);
    }
    this.runRound(at);
    this.reportPossiblyRunning(at);
    for (const finding of this.planner.findLate(at)) this.findings.add(finding, at, this.effects);
    if (this.mode === 'owner') this.effects.push(...this.ledger.flush(at));
  }

  private setOwnership(mode: OwnershipMode, term: number, at: number): void {
    const isNewTerm = mode !== 'none' && term !== this.term;
    this.mode = mode;
    if (mode === 'none') {
      this.ledger.end();
      this.term = 0;
      this.state.clearRuns();
      return;
    }
    if (!isNewTerm) return;
    this.term = term;
    this.sequence = 0;
    this.reports.startTerm(term);
    this.ownedAt = at;
    this.unreportedBlockedUntil = at + possiblyRunningLimitMs;
    this.state.clearRuns();
    this.findings.clear();
    this.effects.push(...this.ledger.begin(term, at));
    for (const host of this.state.hosts.values()) {
      host.hasReported = false;
      this.requestFullReport(host);
    }
  }

  /** Sends a grant without a lease: it carries the term, and the agent answers it with a full report. */
  private requestFullReport(host: CellHost): void {
    if (!host.isUp || host.stamp === undefined) return;
    this.sendGrant(host, 0);
  }

  private sendGrant(host: CellHost, leaseMs: number): void {
    const {cell} = this.options;
    const message = {
      kind: 'grant',
      cell,
      term: this.term,
      stamp: host.stamp ?? 0,
      leaseMs,
    } as const;
    this.effects.push({kind: 'send', host: host.name, message});
  }

  private progress(progress: LedgerProgress, at: number): void {
    this.effects.push(...progress.effects);
    if (progress.deposed) {
      const detail = 'another owner has written the ledger with a higher term';
      this.effects.push({kind: 'finding', workload: '', reason: 'deposed', detail});
      this.setOwnership('none', 0, at);
      return;
    }
    this.reports.acknowledge(progress.acknowledgements, this.effects);
    if (progress.claimed) {
      for (const name of this.ledger.opened) this.blockUnreported(name);
      if (this.configuration) this.reconcile(at);
      this.reports.applyDeferred(at, this.effects);
    }
    for (const name of progress.foundOpened) this.blockUnreported(name);
    if (progress.claimed || progress.opened.length > 0) this.runRound(at);
  }

  /** Blocks the tasks that a previous owner may have started until the lease wait and the fencing are over. */
  private blockUnreported(workload: string): void {
    this.reports.blockedWorkloads.add(workload);
    const job = this.state.jobs.get(workload);
    if (job) job.blockedUntil = Math.max(this.ownedAt + leaseWaitMs, this.unreportedBlockedUntil);
  }

  /** Reports the workloads with tasks that may still run on unreachable hosts. */
  private reportPossiblyRunning(at: number): void {
    if (at < this.ownedAt + leaseWaitMs || at >= this.unreportedBlockedUntil) return;
    for (const finding of this.reports.findPossiblyRunning()) {
      this.findings.add(finding, at, this.effects);
    }
  }

  /** Recomputes the blocks after `unreportedBlockedUntil` has changed. */
  private updateBlocks(): void {
    for (const name of this.reports.blockedWorkloads) this.blockUnreported(name);
  }

  /** Creates, updates and removes jobs to match the configuration. */
  private reconcile(at: number): void {
    const configuration = this.configuration;
    if (!configuration) return;
    this.state.applyConfiguration(configuration);
    for (const workload of configuration.workloads.values()) {
      const job = this.state.jobs.get(workload.name);
      if (!job) {
        const created = new Job(workload);
        created.finished = this.ledger.getFinishedCount(workload.name, workload.tasks);
        this.state.jobs.set(workload.name, created);
        if (this.reports.blockedWorkloads.has(workload.name)) this.blockUnreported(workload.name);
      } else if (job.workload !== workload) {
        job.update(workload);
        for (const run of job.runs.values()) {
          if (run.index >= workload.tasks) this.stop(run, 'shrunk', at);
        }
      }
    }
    for (const [name, job] of this.state.jobs) {
      if (configuration.workloads.has(name)) continue;
      this.state.jobs.delete(name);
      for (const run of job.runs.values()) this.stop(run, 'cancelled', at);
    }
    for (const name of [...this.ledger.opened]) {
      if (!configuration.workloads.has(name)) this.ledger.removeWorkload(name);
    }
  }

  private heartbeat(name: string, message: Heartbeat, at: number): void {
    const host = this.state.hosts.get(name);
    if (!host?.isUp) return;
    host.stamp = message.stamp;
    host.heartbeatReceivedAt = at;
    if (this.mode === 'none') return;
    if (!host.hasReported) {
      this.requestFullReport(host);
      return;
    }
    host.grantedAt = at;
    this.sendGrant(host, taskLeaseMs);
  }

  private releaseLost(at: number): void {
    const released = releaseLostRuns(this.state, at);
    if (released === 0) return;
    this.effects.push({kind: 'count', name: 'tasks-lost-with-host', by: released});
  }

  private releaseLostHost(name: string, at: number): void {
    const host = this.state.hosts.get(name);
    if (!host || host.isUp) return;
    this.releaseLost(at);
    if (host.runs.size === 0) this.state.hosts.delete(name);
  }

  /** Applies the actions of the colocation policy; moves count as evictions and are subject to the same limits. */
  private applyColocationActions(at: number): void {
    for (const action of this.reports.pendingActions.splice(0)) {
      const {run} = action;
      if (this.state.runs.get(run.id) !== run || run.state !== 'running') continue;
      if (action.kind === 'throttle') {
        run.fraction = action.fraction;
        this.effects.push(this.reports.createThrottle(run));
        this.effects.push({kind: 'count', name: 'tasks-throttled', by: 1});
      } else if (this.mode === 'owner' && this.state.tryRecordEviction(run, at)) {
        this.stop(run, 'moved', at);
        this.effects.push({kind: 'count', name: 'tasks-moved', by: 1});
      }
    }
  }

  private stop(run: TaskRun, reason: StopReason, at: number): void {
    if (run.state === 'settling') return;
    run.stopReason = reason;
    if (run.state === 'lost') return;
    run.state = 'stopping';
    this.sendStop(run, at);
  }

  private sendStop(run: TaskRun, at: number): void {
    run.stopSentAt = at;
    this.effects.push(this.reports.createStop(run));
  }

  private getContext(at: number): RoundContext {
    const {ledger, planner} = this;
    return {
      at,
      canOpen: this.mode === 'owner',
      interference: this.colocation,
      policy: this.policy,
      isOpened: name => ledger.isOpened(name),
      isFinished: (name, index) => ledger.isFinished(name, index),
      getCheckpoint: task => ledger.getTask(task)?.checkpoint,
      getRank: job => planner.getRank(job, at),
      getReservation: workload => this.getReservation(workload),
      getNextAttemptNumber: () => this.term * attemptsPerTerm + (this.sequence += 1),
    };
  }

  private getReservation(workload: Workload): Resources {
    if (!this.policy.isLearning) return workload.resources;
    return this.sizes.getReservation(workload, this.state.largestProcessors);
  }

  private runRound(at: number): void {
    if (!this.isActive()) return;
    const decisions = new SchedulingRound(this.state, this.getContext(at)).run();
    for (const decision of decisions) this.applyDecision(decision, at);
    if (this.mode === 'owner') this.effects.push(...this.ledger.flush(at));
  }

  private applyDecision(decision: Decision, at: number): void {
    switch (decision.kind) {
      case 'open': {
        const {urgency} = decision.job.workload;
        this.ledger.open(decision.job.name, urgency === 'critical' || urgency === 'urgent');
        break;
      }
      case 'start':
        this.sendStart(decision.run, decision.checkpoint);
        break;
      case 'stop':
        this.sendStop(decision.run, at);
        this.effects.push({kind: 'count', name: 'tasks-evicted', by: 1});
        break;
      case 'finding':
        this.findings.add(decision, at, this.effects);
        break;
    }
  }

  private sendStart(run: TaskRun, checkpoint: string | undefined): void {
    const host = this.state.hosts.get(run.host);
    if (host?.stamp === undefined) return;
    host.grantedAt = Math.max(host.grantedAt, host.heartbeatReceivedAt);
    this.effects.push({
      kind: 'send',
      host: run.host,
      message: {
        kind: 'start',
        cell: this.options.cell,
        term: this.term,
        stamp: host.stamp,
        leaseMs: taskLeaseMs,
        task: run.id,
        attempt: run.attempt,
        workload: getDeclaredName(run.workload),
        resources: run.reserved,
        checkpoint,
      },
    });
    this.effects.push({kind: 'count', name: 'tasks-started', by: 1});
    const event = {
      kind: 'task-start',
      task: run.id,
      attempt: run.attempt,
      host: run.host,
      workload: run.workload,
    };
    this.effects.push({kind: 'record', event});
  }
}

import type {Workload} from '../../configuration/document.js';
import {urgencies, type Resources} from '../../messages/identity.js';
import {
  addAmounts,
  copyAmounts,
  fits,
  getDominantShare,
  getLimitingDimension,
  type Dimension,
} from '../amounts.js';
import type {CellHost} from '../cell/cell-host.js';
import type {CellState} from '../cell/cell-state.js';
import {EvictableRuns} from './evictable-runs.js';
import {defaultRoundPolicy, type RoundPolicy} from './round-policy.js';
import type {FindingReason} from '../events.js';
import type {Job} from '../cell/job.js';
import {Placement, type InterferenceForecast} from './placement.js';
import {TeamQueue} from './team-queue.js';
import type {StopReason, TaskRun} from '../cell/task-run.js';

/** Quota assumed for an undeclared team; large, so that its dominant share is close to 0. */
const unlimitedQuota = {processors: 1e9, memoryMb: 1e9, accelerators: 1e6, slots: 1e6};

/** Time after which a host is reserved for a task that fits nowhere, to prevent its starvation. */
const starvationMs = 30_000;

/** Decision of a scheduling round. */
export type Decision =
  | {readonly kind: 'start'; readonly run: TaskRun; readonly checkpoint?: string}
  | {
      readonly kind: 'stop';
      readonly run: TaskRun;
      readonly reason: StopReason;
      /** Workload for which the task is evicted. */
      readonly beneficiary?: string;
    }
  /** Records the job's workload in the ledger; its tasks start only after that write. */
  | {readonly kind: 'open'; readonly job: Job}
  | {
      readonly kind: 'finding';
      readonly workload: string;
      readonly reason: FindingReason;
      readonly detail: string;
    };

/** Input of a scheduling round besides the cell state. */
export interface RoundContext {
  readonly at: number;
  /** Whether workloads may be opened and tasks evicted; false while the store is unreachable. */
  readonly canOpen: boolean;
  readonly interference?: InterferenceForecast;
  readonly policy?: RoundPolicy;
  isOpened(workload: string): boolean;
  isFinished(workload: string, index: number): boolean;
  getCheckpoint(task: string): string | undefined;
  /** Rank of a job in its urgency band; lower goes first. */
  getRank(job: Job): number;
  /** Resources that a task of the workload reserves. */
  getReservation(workload: Workload): Resources;
  getNextAttemptNumber(): number;
}

/**
 * One pass over the waiting tasks. Tasks within their quota or grant go first, by urgency band. Within a band the team
 * with the smallest dominant share goes first (dominant resource fairness); within a team services go before batch
 * jobs, and jobs with less slack before others. Idle quota is then lent to batch jobs.
 */
export class SchedulingRound {
  private readonly decisions: Decision[] = [];
  private readonly placement: Placement;
  private readonly evictable: EvictableRuns;
  private readonly policy: RoundPolicy;
  private hasReservedForStarved = false;

  constructor(
    private readonly state: CellState,
    private readonly context: RoundContext,
  ) {
    this.policy = context.policy ?? defaultRoundPolicy;
    this.evictable = new EvictableRuns(state, context.at);
    this.placement = new Placement(state, context.at, context.interference);
  }

  /** Runs the round, applies its decisions to the state and returns them. */
  run(): Decision[] {
    const {at} = this.context;
    const bands = urgencies.map((): Job[] => []);
    for (const job of this.state.jobs.values()) {
      if (!job.hasWaiting(at) || !this.isRunnable(job) || !this.isOpened(job)) continue;
      const band = this.policy.usesUrgencyBands ? urgencies.indexOf(job.workload.urgency) : 0;
      bands[band]?.push(job);
    }
    const overQuota: Job[][] = [];
    for (const band of bands) overQuota.push(this.placeBand(band, false));
    for (const band of overQuota) this.placeBand(band, true);
    return this.decisions;
  }

  private isOpened(job: Job): boolean {
    if (this.context.isOpened(job.name)) return true;
    if (this.context.canOpen) this.decisions.push({kind: 'open', job});
    return false;
  }

  private isRunnable(job: Job): boolean {
    const {hosts, capacityVersion} = this.state;
    if (job.checkedCapacityVersion === capacityVersion) return job.neverRunnable === undefined;
    const need = job.workload.resources;
    let limitingDimension: Dimension | undefined;
    for (const host of hosts.values()) {
      if (host.capacity.processors === 0) continue;
      const dimension = getLimitingDimension(host.capacity, need);
      if (!dimension) {
        job.checkedCapacityVersion = capacityVersion;
        job.neverRunnable = undefined;
        return true;
      }
      limitingDimension = dimension;
    }
    if (!limitingDimension) return false;
    job.checkedCapacityVersion = capacityVersion;
    if (job.neverRunnable !== limitingDimension) {
      job.neverRunnable = limitingDimension;
      const detail = `needs ${need[limitingDimension]} ${limitingDimension}, more than any host has`;
      this.addFinding(job, 'never-runnable', detail);
    }
    return false;
  }

  /**
   * Places the tasks of one band; returns the batch jobs that wait because their team has used its quota. With
   * `lendsQuota`, such jobs may use the idle quota of other teams.
   */
  private placeBand(jobs: readonly Job[], lendsQuota: boolean): Job[] {
    const overQuota: Job[] = [];
    const teams = new TeamQueue(this.groupByTeam(jobs), team => this.getShare(team));
    const {appliesQuotas} = this.policy;
    for (let job = teams.first; job; job = teams.first) {
      if (appliesQuotas && !lendsQuota && !this.state.isWithinQuota(job.workload, job)) {
        const {kind, team} = job.workload;
        if (kind === 'batch') overQuota.push(job);
        else this.addFinding(job, 'over-quota', `team ${team} has used its quota`);
        teams.dropFirst();
      } else if (this.startNextTask(job, lendsQuota)) {
        teams.updateFirstTeam();
      } else {
        teams.dropFirst();
      }
    }
    return overQuota;
  }

  /** Returns the jobs of each team in reverse order, as `TeamQueue` takes them. */
  private groupByTeam(jobs: readonly Job[]): Map<string, Job[]> {
    const teams = new Map<string, Job[]>();
    const sortKeys = new Map(jobs.map(job => [job, this.getSortKey(job)]));
    const getKindRank = (job: Job) => (job.workload.kind === 'batch' ? 1 : 0);
    const order = (a: Job, b: Job) =>
      getKindRank(b) - getKindRank(a) || (sortKeys.get(b) ?? 0) - (sortKeys.get(a) ?? 0) || 0;
    for (const job of [...jobs].sort(order)) {
      const team = this.policy.appliesQuotas ? job.workload.team : '';
      const queue = teams.get(team);
      if (queue) queue.push(job);
      else teams.set(team, [job]);
    }
    return teams;
  }

  /** Sort key of a job within its team; lower goes first. */
  private getSortKey(job: Job): number {
    if (this.policy.order === 'arrival') return 0;
    if (this.policy.order === 'date') return job.workload.dateMs ?? Number.POSITIVE_INFINITY;
    return this.context.getRank(job);
  }

  private getShare(name: string): number {
    const team = this.state.teams.get(name);
    const usage = this.state.getUsage(name);
    return getDominantShare(usage, team?.quota ?? unlimitedQuota) / (team?.weight || 1);
  }

  /** Starts one task; returns false when the job cannot start another task in this round. */
  private startNextTask(job: Job, lendsQuota: boolean): boolean {
    const {at} = this.context;
    const index = job.takeNext(at, item => this.context.isFinished(job.name, item));
    if (index === undefined) return false;
    if (this.state.runs.has(job.getTaskId(index))) {
      // An attempt of a removed workload with the same name has not ended yet; the task is retried in 500 ms.
      job.requeueAt(index, at + 500);
      return true;
    }
    const need = this.context.getReservation(job.workload);
    const host = this.placement.chooseHost(job, need);
    if (host) {
      job.unplaceableSince = undefined;
      this.start(job, index, host, need, lendsQuota);
      return true;
    }
    job.requeue(index);
    job.unplaceableSince ??= at;
    if (lendsQuota || !this.context.canOpen) return false;
    if (!this.placement.reserveFreeingHost(need) && this.policy.allowsEviction)
      this.evictFor(job, need);
    if (at - job.unplaceableSince >= starvationMs && !this.hasReservedForStarved) {
      // Otherwise smaller tasks would take every core that becomes free.
      this.hasReservedForStarved = this.placement.reserveFreestHost(need);
    }
    return false;
  }

  private start(
    job: Job,
    index: number,
    host: CellHost,
    reserved: Resources,
    usesLentQuota: boolean,
  ): void {
    const {workload} = job;
    const id = job.getTaskId(index);
    const checkpoint = this.context.getCheckpoint(id);
    const run: TaskRun = {
      id,
      workload: workload.name,
      team: workload.team,
      kind: workload.kind,
      urgency: workload.urgency,
      index,
      attempt: this.context.getNextAttemptNumber(),
      host: host.name,
      reserved,
      startedAt: this.context.at,
      startedWithoutCheckpoint: checkpoint === undefined,
      usesLentQuota,
      state: 'starting',
      stopSentAt: 0,
      releaseAt: Number.POSITIVE_INFINITY,
      fraction: 1,
      progress: 0,
      checkpointAt: this.context.at,
      checkpoint,
    };
    this.state.addRun(run);
    this.state.starts += 1;
    this.decisions.push({kind: 'start', run, checkpoint});
  }

  /**
   * Evicts batch tasks on the host where the fewest evictions make room for the task. As in `CellState.canEvict`,
   * evictions are limited to a tenth of the starts.
   */
  private evictFor(job: Job, need: Resources): void {
    if (this.state.starts / 10 - this.state.evictions < 1) return;
    let best: {host: CellHost; victims: TaskRun[]} | undefined;
    for (const [host, candidates] of this.evictable.getFor(job)) {
      const victims =
        this.placement.hosts.has(host) && this.findVictims(host, candidates, job, need);
      if (victims && (!best || victims.length < best.victims.length)) best = {host, victims};
    }
    if (!best) return;
    this.placement.reserve(best.host, need);
    for (const run of best.victims) {
      this.state.evictions += 1;
      this.state.jobs.get(run.workload)?.evicted(run.index, this.context.at);
      run.state = 'stopping';
      run.stopReason = 'evicted';
      this.decisions.push({kind: 'stop', run, reason: 'evicted', beneficiary: job.name});
    }
  }

  /**
   * Returns the tasks to evict, those with the latest checkpoints first because they lose the least work; undefined
   * when they do not make enough room or exceed the eviction limit.
   */
  private findVictims(
    host: CellHost,
    evictable: readonly TaskRun[],
    job: Job,
    need: Resources,
  ): TaskRun[] | undefined {
    const candidates = evictable
      .filter(run => this.evictable.isStillEvictable(run, job))
      .sort((a, b) => b.checkpointAt - a.checkpointAt);
    const used = copyAmounts(host.used);
    const victims: TaskRun[] = [];
    for (const run of candidates) {
      if (fits(host.capacity, used, need)) break;
      addAmounts(used, run.reserved, -1);
      victims.push(run);
    }
    if (!fits(host.capacity, used, need)) return undefined;
    const evictionBudget = this.state.starts / 10 - this.state.evictions;
    return victims.length <= evictionBudget ? victims : undefined;
  }

  private addFinding(job: Job, reason: FindingReason, detail: string): void {
    this.decisions.push({kind: 'finding', workload: job.name, reason, detail});
  }
}

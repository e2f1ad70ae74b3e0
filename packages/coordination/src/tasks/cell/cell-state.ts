import type {Configuration, Team, Workload} from '../../configuration/document.js';
import type {Resources} from '../../messages/identity.js';
import {addAmounts, createAmounts, fits, type Amounts} from '../amounts.js';
import {CellHost} from './cell-host.js';
import {Job} from './job.js';
import type {TaskRun} from './task-run.js';

/** Upper bound on evictions as a fraction of task starts. */
const maxEvictionsPerStart = 0.1;

/** Hosts, jobs and runs of a cell, with the resource totals that placement needs. */
export class CellState {
  readonly hosts = new Map<string, CellHost>();
  readonly jobs = new Map<string, Job>();
  /** Every attempt that may be running or is `settling`, by task id, including those of removed workloads. */
  readonly runs = new Map<string, TaskRun>();
  teams: ReadonlyMap<string, Team> = new Map();
  drains: ReadonlySet<string> = new Set();
  /** Task starts (including adopted attempts) and evictions by this process, for the eviction limit. */
  starts = 0;
  evictions = 0;
  /** Position of the host at which the next search in a large cell begins. */
  searchStart = 0;
  /** Incremented by every host announcement, so that capacity checks can be cached. */
  capacityVersion = 0;
  /** Resources reserved by the attempts of each team. */
  private readonly usage = new Map<string, Amounts>();

  /** Adds a run to its host, job and team. */
  addRun(run: TaskRun): void {
    this.runs.set(run.id, run);
    this.jobs.get(run.workload)?.runs.set(run.index, run);
    if (run.isReservationReleased) return;
    this.hosts.get(run.host)?.add(run);
    addAmounts(this.getUsage(run.team), run.reserved);
  }

  /** Releases the reservation of an ended attempt before the ledger is written, so that other work can start. */
  releaseReservation(run: TaskRun): void {
    if (run.isReservationReleased || this.runs.get(run.id) !== run) return;
    run.isReservationReleased = true;
    this.hosts.get(run.host)?.remove(run);
    addAmounts(this.getUsage(run.team), run.reserved, -1);
  }

  /** Removes a run; returns its job if the job still exists and had this run as the task's current one. */
  removeRun(run: TaskRun): Job | undefined {
    if (this.runs.get(run.id) !== run) return undefined;
    this.releaseReservation(run);
    this.runs.delete(run.id);
    const job = this.jobs.get(run.workload);
    if (job?.runs.get(run.index) !== run) return undefined;
    job.runs.delete(run.index);
    return job;
  }

  /** Resources reserved by the attempts of a team. */
  getUsage(team: string): Amounts {
    let usage = this.usage.get(team);
    if (!usage) {
      usage = createAmounts();
      this.usage.set(team, usage);
    }
    return usage;
  }

  /** Whether one more task stays within the workload's grant or its team's quota; undeclared teams are unlimited. */
  isWithinQuota(workload: Workload, job: Job): boolean {
    const team = this.teams.get(workload.team);
    if (!team) return true;
    if (fits(team.quota, this.getUsage(workload.team), workload.resources)) return true;
    const used = job.runs.size * workload.resources.processors;
    return used + workload.resources.processors <= workload.grant.processors;
  }

  /** Whether a team reserves more than its quota. */
  isOverQuota(name: string): boolean {
    const team = this.teams.get(name);
    return team !== undefined && !fits(team.quota, this.getUsage(name), createAmounts());
  }

  /** Whether the cell's eviction limit allows another eviction. */
  get canEvict(): boolean {
    return this.evictions + 1 <= this.starts * maxEvictionsPerStart;
  }

  /** Records an eviction if the limits of the cell and the task allow it; returns whether they do. */
  tryRecordEviction(run: TaskRun, at: number): boolean {
    const job = this.jobs.get(run.workload);
    if (!this.canEvict || job?.canEvict(run.index, at) !== true) return false;
    this.evictions += 1;
    job.evicted(run.index, at);
    return true;
  }

  /** Whether the host is being drained and gets no new tasks. */
  isDrained(host: CellHost): boolean {
    return host.isDraining || this.drains.has(host.name);
  }

  /** Processors of the largest host, in thousandths of a core. */
  get largestProcessors(): number {
    let largest = 0;
    for (const host of this.hosts.values()) largest = Math.max(largest, host.capacity.processors);
    return largest;
  }

  /** Sum of the capacities of the connected hosts. */
  getTotalCapacity(): Resources {
    const total = createAmounts();
    for (const host of this.hosts.values()) if (host.isUp) addAmounts(total, host.capacity);
    return total;
  }

  /** Sets the teams and the drained hosts. */
  applyConfiguration(configuration: Configuration): void {
    this.teams = configuration.teams;
    this.drains = configuration.drains;
  }

  /** Removes jobs and runs but keeps hosts and their health. */
  clearRuns(): void {
    this.jobs.clear();
    this.runs.clear();
    this.usage.clear();
    for (const host of this.hosts.values()) {
      host.runs.clear();
      Object.assign(host.used, createAmounts());
    }
  }

  /** Returns an independent copy for a forecast. */
  clone(): CellState {
    const copy = new CellState();
    copy.teams = this.teams;
    copy.drains = this.drains;
    copy.starts = this.starts;
    copy.searchStart = this.searchStart;
    copy.evictions = this.evictions;
    copy.capacityVersion = this.capacityVersion;
    for (const [name, host] of this.hosts) copy.hosts.set(name, host.clone());
    for (const [name, job] of this.jobs) copy.jobs.set(name, job.clone());
    for (const run of this.runs.values()) copy.addRun({...run});
    return copy;
  }
}

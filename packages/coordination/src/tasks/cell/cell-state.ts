import type {Configuration, Team, Workload} from '../../configuration/document.js';
import type {Resources} from '../../messages/identity.js';
import {addAmounts, createAmounts, fits, type Amounts} from '../amounts.js';
import {CellHost} from './cell-host.js';
import {Job} from './job.js';
import type {TaskRun} from './task-run.js';

/** Evictions may be at most this fraction of the task starts. */
const maxEvictionsPerStart = 0.1;

/** Hosts, jobs and runs of a cell, with the sums that placement needs. */
export class CellState {
  readonly hosts = new Map<string, CellHost>();
  readonly jobs = new Map<string, Job>();
  /** Every attempt that may be running, by task id, also of removed workloads. */
  readonly runs = new Map<string, TaskRun>();
  teams: ReadonlyMap<string, Team> = new Map();
  drains: ReadonlySet<string> = new Set();
  starts = 0;
  evictions = 0;
  /** Host at which the next search in a large cell begins. */
  searchStart = 0;
  /** Changes whenever a host's capacity does. */
  capacityVersion = 0;
  private readonly usage = new Map<string, Amounts>();

  /** Adds a run to its host, job and team. */
  addRun(run: TaskRun): void {
    this.runs.set(run.id, run);
    this.jobs.get(run.workload)?.runs.set(run.index, run);
    if (run.released) return;
    this.hosts.get(run.host)?.add(run);
    addAmounts(this.getUsage(run.team), run.reserved);
  }

  /** Gives the reservation of an ended attempt back, so that other work need not wait for the ledger. */
  releaseReservation(run: TaskRun): void {
    if (run.released || this.runs.get(run.id) !== run) return;
    run.released = true;
    this.hosts.get(run.host)?.remove(run);
    addAmounts(this.getUsage(run.team), run.reserved, -1);
  }

  /** Removes a run; returns the job that it belonged to when the job still exists. */
  removeRun(run: TaskRun): Job | undefined {
    if (this.runs.get(run.id) !== run) return undefined;
    this.releaseReservation(run);
    this.runs.delete(run.id);
    const job = this.jobs.get(run.workload);
    if (job?.runs.get(run.index) !== run) return undefined;
    job.runs.delete(run.index);
    return job;
  }

  /** Reservations of a team. */
  getUsage(team: string): Amounts {
    let usage = this.usage.get(team);
    if (!usage) {
      usage = createAmounts();
      this.usage.set(team, usage);
    }
    return usage;
  }

  /** Whether a task of the workload stays within its grant or its team's quota. Unknown teams have no quota to exceed. */
  isWithinQuota(workload: Workload, job: Job): boolean {
    const team = this.teams.get(workload.team);
    if (!team) return true;
    if (fits(team.quota, this.getUsage(workload.team), workload.resources)) return true;
    const used = job.runs.size * workload.resources.processors;
    return used + workload.resources.processors <= workload.grant.processors;
  }

  /** Whether a team uses more than its quota at present. */
  isOverQuota(name: string): boolean {
    const team = this.teams.get(name);
    return team !== undefined && !fits(team.quota, this.getUsage(name), createAmounts());
  }

  /** Whether the bound on evictions allows one more. */
  get canEvict(): boolean {
    return this.evictions + 1 <= this.starts * maxEvictionsPerStart;
  }

  /** Counts an eviction of a run if the bounds allow it; returns whether they do. */
  recordEvictionIfAllowed(run: TaskRun, at: number): boolean {
    const job = this.jobs.get(run.workload);
    if (!this.canEvict || job?.canEvict(run.index, at) !== true) return false;
    this.evictions += 1;
    job.evicted(run.index, at);
    return true;
  }

  /** Whether the host gets no new tasks because it is being drained. */
  isDrained(host: CellHost): boolean {
    return host.leaving || this.drains.has(host.name);
  }

  /** Processors of the largest host. */
  get largestProcessors(): number {
    let largest = 0;
    for (const host of this.hosts.values()) largest = Math.max(largest, host.capacity.processors);
    return largest;
  }

  /** Sum of the capacities of reachable hosts. */
  getTotalCapacity(): Resources {
    const total = createAmounts();
    for (const host of this.hosts.values()) if (host.up) addAmounts(total, host.capacity);
    return total;
  }

  /** Takes over teams and drains. */
  applyConfiguration(configuration: Configuration): void {
    this.teams = configuration.teams;
    this.drains = configuration.drains;
  }

  /** Forgets jobs and runs but keeps hosts and their health. */
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

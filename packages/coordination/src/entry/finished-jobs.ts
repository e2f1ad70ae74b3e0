import {getDeclaredName} from '../configuration/cell-shares.js';
import type {Configuration, ConfigurationOperation} from '../configuration/document.js';
import type {ConfirmedPlan} from '../configuration/view/events.js';
import type {WorkloadStatus} from '../tasks/workload-status.js';

/** Options of `FinishedJobs`. */
export interface FinishedJobsOptions {
  /** Unique name of this incarnation of the process; prefix of the plan ids. */
  readonly prefix: string;
  /** Time for which a finished job stays visible to operators, from the first check that sees it finished. */
  readonly retentionMs: number;
  /** Minimum time between two changes, because each change invalidates pending plans of operators. */
  readonly intervalMs: number;
  /** Maximum number of jobs removed by one change. */
  readonly maxRemovals: number;
}

const defaults = {retentionMs: 3_600_000, intervalMs: 600_000, maxRemovals: 1000};

/**
 * Removes finished batch jobs from the configuration. At 22,000 jobs a day it would otherwise grow by several
 * megabytes a day, and every restart would have to read them all.
 */
export class FinishedJobs {
  private readonly options: FinishedJobsOptions;
  /** Time at which each finished job was first seen finished, by declared name. */
  private readonly finishedSince = new Map<string, number>();
  private lastCheckedAt = -Infinity;
  private changes = 0;

  constructor(options: Pick<FinishedJobsOptions, 'prefix'> & Partial<FinishedJobsOptions>) {
    this.options = {...defaults, ...options};
  }

  /** Whether `intervalMs` has passed since the last check. */
  isDue(at: number): boolean {
    return at - this.lastCheckedAt >= this.options.intervalMs;
  }

  /** Returns the plan that removes the jobs whose retention time has passed, if there are any. */
  createRemovalPlan(
    configuration: Configuration,
    workloads: readonly WorkloadStatus[],
    at: number,
  ): ConfirmedPlan | undefined {
    const {prefix, retentionMs, maxRemovals} = this.options;
    this.lastCheckedAt = at;
    const expiredNames: string[] = [];
    const finished = new Set<string>();
    for (const {name, kind, running, waiting} of workloads) {
      const declared = getDeclaredName(name);
      if (kind !== 'batch' || running + waiting > 0) continue;
      if (!configuration.workloads.has(declared)) continue;
      finished.add(declared);
      const finishedSince = this.finishedSince.get(declared) ?? at;
      this.finishedSince.set(declared, finishedSince);
      if (at - finishedSince >= retentionMs) expiredNames.push(declared);
    }
    for (const name of this.finishedSince.keys()) {
      if (!finished.has(name)) this.finishedSince.delete(name);
    }
    if (expiredNames.length === 0) return undefined;
    this.changes += 1;
    const operations = expiredNames
      .slice(0, maxRemovals)
      .map((name): ConfigurationOperation => ({kind: 'remove-workload', name}));
    const planId = `${prefix}-finished-${this.changes}`;
    return {planId, baseVersion: configuration.version, author: 'chervilbeam', operations};
  }
}

import type {Workload} from '../configuration/document.js';
import type {CellHost} from '../tasks/cell/cell-host.js';
import type {TaskRun} from '../tasks/cell/task-run.js';
import type {InterferenceForecast} from '../tasks/round/placement.js';
import {getWorkloadPrefix} from '../tasks/round/run-time-estimates.js';
import {PairInterferenceModel, type ColocatedLoad} from './pair-interference-model.js';
import {ColocatedLoadHistory} from './colocated-load-history.js';

/** Settings of `ColocationPolicy`. Ratios are the latency of a service divided by its latency without batch tasks. */
export interface ColocationOptions {
  /** Time from the middle of a measurement window to the arrival of its report. */
  readonly reportLagMs: number;
  /** Length of a measurement window. */
  readonly reportWindowMs: number;
  /** Latency ratio above which a report counts towards throttling a batch task. */
  readonly highRatio: number;
  /** Mean ratio over two reports above which the lowest processor limit is set at once. */
  readonly severeRatio: number;
  /** Latency ratio below which a batch workload without measurements may start beside the service. */
  readonly headroomRatio: number;
}

/** Defaults of `ColocationOptions`. */
export const defaultColocationOptions: ColocationOptions = {
  reportLagMs: 10_000,
  reportWindowMs: 5_000,
  highRatio: 1.2,
  severeRatio: 1.4,
  headroomRatio: 1.05,
};

/** Consecutive reports above `highRatio` before a task is throttled. This and the counts below give hysteresis. */
const throttleReportCount = 3;

/** The same count before a task at the lowest limit is moved, or before a severe ratio sets the lowest limit. */
const moveReportCount = 2;

/** Consecutive reports at or below `highRatio` before the limit of a throttled task is raised. */
const raiseReportCount = 5;

/** Processor limits of a throttled task, as fractions of its reservation, highest first. */
const throttleFractions = [0.5, 0.25];

/** Change that the policy requests from the scheduler: a new processor limit, or an eviction to another host. */
export type ColocationAction =
  | {readonly kind: 'throttle'; readonly run: TaskRun; readonly fraction: number}
  | {readonly kind: 'move'; readonly run: TaskRun};

/** Limits the interference between services and batch tasks; `CellScheduler` accepts any implementation. */
export interface ColocationAdvisor extends InterferenceForecast {
  /** Samples the batch tasks on a host; calls may be more frequent than samples. */
  sample(host: CellHost, at: number): void;
  /** Learns from a measured latency ratio of a service on a host and returns the actions for that host. */
  report(host: CellHost, service: string, ratio: number, at: number): ColocationAction[];
}

/** Consecutive reports of a service on one host. */
interface ServiceRecord {
  highCount: number;
  /** Sum of the logarithms of the ratios counted in `highCount`, for their geometric mean. */
  highLogSum: number;
  goodCount: number;
}

interface HostRecord {
  readonly history: ColocatedLoadHistory;
  readonly services: Map<string, ServiceRecord>;
  sampledAt: number;
  /** Time of the last action; windows that began before it do not show its effect and are not counted. */
  lastActionAt: number;
}

/** Interval between samples of a host. */
const sampleIntervalMs = 1_000;

/** Returns the key under which the batch workloads of a series, such as monthly jobs, share their measurements. */
function getSeriesKey(team: string, workload: string): string {
  return `${team}/${getWorkloadPrefix(workload)}`;
}

function hasService(host: CellHost): boolean {
  for (const run of host.runs.values()) if (run.kind === 'service') return true;
  return false;
}

/** Decides which batch tasks may run beside which services, and throttles or moves those that interfere. */
export class ColocationPolicy implements ColocationAdvisor {
  readonly model = new PairInterferenceModel();
  private readonly options: ColocationOptions;
  private readonly records = new Map<string, HostRecord>();

  constructor(options: Partial<ColocationOptions> = {}) {
    this.options = {...defaultColocationOptions, ...options};
  }

  /** Records at most one sample per second, and only for hosts that run a service. */
  sample(host: CellHost, at: number): void {
    const record = this.getRecord(host.name);
    if (at - record.sampledAt < sampleIntervalMs) return;
    record.sampledAt = at;
    if (hasService(host)) record.history.add(this.getColocatedLoad(host), at);
  }

  /** @inheritdoc */
  report(host: CellHost, service: string, ratio: number, at: number): ColocationAction[] {
    const {reportLagMs, reportWindowMs, highRatio} = this.options;
    const record = this.getRecord(host.name);
    const windowMiddle = at - reportLagMs;
    const from = windowMiddle - reportWindowMs / 2;
    const load = record.history.getAverage(from, windowMiddle + reportWindowMs / 2);
    this.model.observe(service, load, ratio, at);
    if (from < record.lastActionAt) return [];
    const entry = record.services.get(service) ?? {highCount: 0, highLogSum: 0, goodCount: 0};
    record.services.set(service, entry);
    if (ratio > highRatio) {
      entry.goodCount = 0;
      entry.highCount += 1;
      entry.highLogSum += Math.log(ratio);
      return this.throttleOrMove(host, service, entry, at);
    }
    entry.highCount = 0;
    entry.highLogSum = 0;
    entry.goodCount += 1;
    return this.raiseLimit(host, service, at);
  }

  /**
   * Cost of a batch task on a host: the sum of the predicted slowdowns of its services, as logarithms of latency ratios.
   * Infinite when the task may not run there.
   */
  getCost(host: CellHost, workload: Workload, at: number): number {
    const {highRatio, headroomRatio} = this.options;
    if (!hasService(host)) return 0;
    const key = getSeriesKey(workload.team, workload.name);
    let cost = 0;
    for (const service of this.getServices(host)) {
      let present = 0;
      let hasUnknownPair = false;
      for (const [name, amount] of this.getColocatedLoad(host)) {
        present += amount * this.model.getMean(service, name, at);
        hasUnknownPair ||= !this.model.isKnown(service, name, at);
      }
      if (this.model.isKnown(service, key, at)) {
        const slowdown = this.model.getUpperEstimate(service, key, at);
        if (present + slowdown > Math.log(highRatio)) return Number.POSITIVE_INFINITY;
        cost += Math.max(0, slowdown);
      } else {
        // Only one workload without measurements at a time, so that its effect can be attributed, and only while the
        // service has latency headroom.
        if (hasUnknownPair || (host.latencyRatio ?? 1) >= headroomRatio)
          return Number.POSITIVE_INFINITY;
        cost += this.model.getMean(service, key, at);
      }
    }
    return cost;
  }

  private getRecord(host: string): HostRecord {
    let record = this.records.get(host);
    if (!record) {
      const history = new ColocatedLoadHistory();
      const sampledAt = Number.NEGATIVE_INFINITY;
      record = {history, services: new Map(), sampledAt, lastActionAt: sampledAt};
      this.records.set(host, record);
    }
    return record;
  }

  private getServices(host: CellHost): Set<string> {
    const services = new Set<string>();
    for (const run of host.runs.values()) if (run.kind === 'service') services.add(run.workload);
    return services;
  }

  private getColocatedLoad(host: CellHost): ColocatedLoad {
    const load = new Map<string, number>();
    for (const run of host.runs.values()) {
      if (run.kind !== 'batch') continue;
      const key = getSeriesKey(run.team, run.workload);
      load.set(key, (load.get(key) ?? 0) + run.fraction);
    }
    return load;
  }

  /** Throttles the batch task that most likely causes the slowdown, or moves a task that is at the lowest limit. */
  private throttleOrMove(
    host: CellHost,
    service: string,
    entry: ServiceRecord,
    at: number,
  ): ColocationAction[] {
    const runs = [...host.runs.values()].filter(
      run => run.kind === 'batch' && run.state === 'running',
    );
    const estimateSlowdown = (run: TaskRun) =>
      this.model.getUpperEstimate(service, getSeriesKey(run.team, run.workload), at) * run.fraction;
    const [lowestFraction = 0.25] = throttleFractions.slice(-1);
    const atLowestLimit = runs.find(run => run.fraction <= lowestFraction);
    const mean = Math.exp(entry.highLogSum / entry.highCount);
    const isSevere = mean > this.options.severeRatio;
    if (entry.highCount < (atLowestLimit || isSevere ? moveReportCount : throttleReportCount))
      return [];
    if (atLowestLimit) return this.recordAction(host, {kind: 'move', run: atLowestLimit}, at);
    const [likelyCause] = runs
      .filter(run => run.fraction > lowestFraction)
      .sort((a, b) => estimateSlowdown(b) - estimateSlowdown(a) || b.startedAt - a.startedAt);
    if (!likelyCause) return [];
    const nextFraction =
      throttleFractions.find(value => value < likelyCause.fraction) ?? lowestFraction;
    const fraction = isSevere ? lowestFraction : nextFraction;
    return this.recordAction(host, {kind: 'throttle', run: likelyCause, fraction}, at);
  }

  private recordAction(host: CellHost, action: ColocationAction, at: number): ColocationAction[] {
    const record = this.getRecord(host.name);
    record.lastActionAt = at;
    record.services.clear();
    return [action];
  }

  /** Raises the limit of one throttled task if the predicted slowdown stays below `highRatio`. */
  private raiseLimit(host: CellHost, service: string, at: number): ColocationAction[] {
    for (const entry of this.getRecord(host.name).services.values()) {
      if (entry.goodCount < raiseReportCount) return [];
    }
    let present = 0;
    for (const [name, amount] of this.getColocatedLoad(host)) {
      present += amount * this.model.getMean(service, name, at);
    }
    for (const run of host.runs.values()) {
      if (run.kind !== 'batch' || run.fraction >= 1 || run.state !== 'running') continue;
      const fraction = run.fraction < 0.5 ? 0.5 : 1;
      const addedSlowdown =
        (fraction - run.fraction) *
        this.model.getMean(service, getSeriesKey(run.team, run.workload), at);
      if (present + addedSlowdown > Math.log(this.options.highRatio)) continue;
      return this.recordAction(host, {kind: 'throttle', run, fraction}, at);
    }
    return [];
  }
}

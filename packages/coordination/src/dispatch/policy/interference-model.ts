import {DisturbanceModel, type Presence} from '../../colocation/disturbance-model.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import {LoadForecasts} from './load-forecasts.js';

/** Workers report the processors in use in thousandths of a core. */
const millicoresPerCore = 1_000;
/** Tail latency, as a part of the target, that counts as a load of 0; it only sets the scale of loads. */
const idleLatencyShare = 0.2;
/** Part of its reserved processors that a serving task uses as long as its load is not known. */
const assumedUtilization = 0.6;
/** Part of its target that a serving task may reach by the tasks beside it. */
const maxTargetShare = 0.85;
/** Load from which on a tail latency does not tell any more how far a task is overloaded. */
const saturationLoad = 0.93;
/** Time in milliseconds for which the load is extrapolated; a filling task is paced down within it. */
const forecastMs = 1_000;
/** Window of a measurement in milliseconds before its report. */
const measurementWindowMs = 500;
const reportLagMs = 100;
/** Shortest time in milliseconds between two measurements of a worker that are used. */
const minObservationIntervalMs = 400;
/** Time in milliseconds in which a backlog of requests drains, and the fall of pressure that leaves one. */
const drainMs = 1_500;
const minPressureDrop = 0.1;
/** Part of the deviation of a pressure that is added to its mean, as a caution. */
const cautionFactor = 0.25;
/** Lowest pressure that is assumed for filling work on all cores. */
const minPressure = 0.02;
/** Standard deviation of a tail latency as a part of it, and the least deviation of a load. */
const latencyNoiseShare = 0.06;
const minLoadNoise = 0.02;

/** Serving tasks of one step on one worker; they share their users, so their loads are alike. */
export interface ServingGroup {
  readonly key: string;
  readonly image: string;
  readonly targetMs: number;
  /** Median tail latency of the tasks in milliseconds; 0 when none was measured. */
  readonly tailMs: number;
}

/** A filling task, as far as it disturbs. */
export interface FillingLoad {
  readonly image?: string | undefined;
  /** Part of its worker's cores that it uses at full pace. */
  readonly share: number;
}

interface Measurement {
  readonly at: number;
  readonly presence: Presence;
}

/**
 * Learns how much filling tasks disturb serving tasks, and tells how many more a worker bears. The reciprocal of
 * the tail latency of a serving task falls linearly with its load, and filling tasks beside it add to that load:
 * each the part of the worker's cores that it uses, times a pressure that is learned for each pair of images.
 */
export class InterferenceModel {
  /** Load that filling work of each image on all cores of a worker adds to each serving image. */
  private readonly model = new DisturbanceModel({
    priorMean: 0.8,
    priorDeviation: 1,
    halfLifeMs: 1_800_000,
    knownDeviation: 0.4,
  });
  /** Loads of serving steps without the filling tasks beside them. */
  private readonly loads = new LoadForecasts();
  private readonly measurements = new WeakMap<WorkerView, Measurement>();

  /** Takes in the newest measurements of a worker; those of overlapping windows tell nothing new. */
  observe(worker: WorkerView, at: number): void {
    const former = this.measurements.get(worker);
    if (former !== undefined && at - former.at < minObservationIntervalMs) return;
    const presence = getMeasuredPresence(worker);
    this.measurements.set(worker, {at, presence});
    const recent = former !== undefined && at - former.at < drainMs ? former.presence : new Map();
    for (const group of getServingGroups(worker)) {
      if (group.tailMs <= 0) continue;
      if (!this.isDraining(group, recent, presence, at)) this.observeGroup(group, presence, at);
    }
  }

  /** After a higher pressure, requests that have piled up keep the tail high for a while. */
  private isDraining(
    group: ServingGroup,
    recent: Presence,
    presence: Presence,
    at: number,
  ): boolean {
    const recentPressure = this.sumPressure(group.image, recent, at, 0);
    return recentPressure > this.sumPressure(group.image, presence, at, 0) + minPressureDrop;
  }

  /** Forgets the loads of serving steps that have ended. */
  retain(isActive: (key: string) => boolean): void {
    this.loads.retain(isActive);
  }

  /** Load that a filling task at full pace adds to a group. */
  getPressure(group: ServingGroup, filling: FillingLoad, at: number): number {
    return (
      this.getUnitPressure(group.image, filling.image ?? '', at, cautionFactor) * filling.share
    );
  }

  /** Whether the pressure of a filling image on a serving image has been measured. */
  isKnown(serving: string, filling: string | undefined, at: number): boolean {
    return this.model.isKnown(serving, filling ?? '', at);
  }

  /** Load that all filling tasks of a worker add to a group at their present pace. */
  getTotalPressure(worker: WorkerView, group: ServingGroup, at: number): number {
    return this.sumPressure(group.image, getAllowedPresence(worker), at, cautionFactor);
  }

  /** Part of its reserved processors that a serving task is expected to use. */
  getExpectedUtilization(run: Run, at: number): number {
    const key = getServingStepKey(run);
    if (!this.loads.has(key)) return assumedUtilization;
    return Math.max(0, Math.min(1, this.loads.estimate(key, at).load));
  }

  /** Load that a group bears beside its own, now and for the next second. */
  getPressureBudget(group: ServingGroup, at: number): number {
    return this.getSustainedPressureBudget(group, forecastMs, at);
  }

  /** Load that a group is expected to bear beside its own for a time in milliseconds. */
  getSustainedPressureBudget(group: ServingGroup, durationMs: number, at: number): number {
    // A group that has not been measured yet may be at its peak.
    if (!this.loads.has(group.key)) return 0;
    const limit = 1 - idleLatencyShare / maxTargetShare;
    return Math.max(0, limit - this.loads.getHighest(group.key, at, durationMs));
  }

  private observeGroup(group: ServingGroup, presence: Presence, at: number): void {
    const measured = 1 - (idleLatencyShare * group.targetMs) / group.tailMs;
    const pressure = this.sumPressure(group.image, presence, at, 0);
    const load = measured - pressure;
    const noise = latencyNoiseShare * (1 - measured) + minLoadNoise;
    const deviation = Math.hypot(noise, this.getPressureDeviation(group.image, presence, at));
    const measuredAt = at - reportLagMs - measurementWindowMs / 2;
    if (!this.loads.has(group.key)) {
      this.loads.update(group.key, load, deviation, measuredAt);
      return;
    }
    const forecast = this.loads.estimate(group.key, measuredAt);
    const isSaturated = measured >= saturationLoad;
    const excess = measured - forecast.load;
    // A saturated task tells only that the load is at least that high.
    if (!isSaturated || pressure < excess) {
      const effectDeviation = Math.hypot(noise, forecast.deviation);
      this.model.observeEffect(group.image, presence, excess, at, effectDeviation);
    }
    if (!isSaturated) this.loads.update(group.key, load, deviation, measuredAt);
  }

  /** Standard deviation of the pressure of filling work on a serving image. */
  private getPressureDeviation(serving: string, presence: Presence, at: number): number {
    let variance = 0;
    for (const [image, share] of presence) {
      variance += (share * this.model.getDeviation(serving, image, at)) ** 2;
    }
    return Math.sqrt(variance);
  }

  private getUnitPressure(
    serving: string,
    filling: string,
    at: number,
    deviationFactor: number,
  ): number {
    const mean = this.model.getMean(serving, filling, at);
    const deviation = this.model.getDeviation(serving, filling, at);
    return Math.max(minPressure, mean + deviationFactor * deviation);
  }

  private sumPressure(
    serving: string,
    presence: Presence,
    at: number,
    deviationFactor: number,
  ): number {
    let sum = 0;
    for (const [image, share] of presence) {
      sum += share * this.getUnitPressure(serving, image, at, deviationFactor);
    }
    return sum;
  }
}

/** Returns the key of a serving step. */
export function getServingStepKey(run: Run): string {
  const {submission, occurrence, stepIndex} = run.task;
  return `${submission.id}.${occurrence}.${stepIndex}`;
}

/** Returns the serving tasks with a latency target on a worker, by step. */
export function getServingGroups(worker: WorkerView): ServingGroup[] {
  const groups = new Map<string, Run[]>();
  for (const run of worker.runs.values()) {
    const {step} = run.task;
    if (!step.lasting || step.fills || step.tailTargetMs === undefined) continue;
    const key = getServingStepKey(run);
    const group = groups.get(key);
    if (group) group.push(run);
    else groups.set(key, [run]);
  }
  return [...groups].map(([key, runs]) => {
    const tails = runs
      .filter(run => run.percent >= 100 && run.measurement > 0)
      .map(run => run.measurement)
      .sort((a, b) => a - b);
    const {image = '', tailTargetMs = 0} = runs[0]?.task.step ?? {};
    return {key, image, targetMs: tailTargetMs, tailMs: tails[tails.length >> 1] ?? 0};
  });
}

/** Runs of a worker that fill. */
export function getFillers(worker: WorkerView): Run[] {
  const fillers: Run[] = [];
  for (const run of worker.runs.values()) if (run.task.step.fills) fillers.push(run);
  return fillers;
}

/** Part of a worker's cores that each filling image may use at the pace that was ordered. */
function getAllowedPresence(worker: WorkerView): Presence {
  return getPresence(worker, run => (run.task.step.need.processors * run.pace) / 100);
}

/** Part of a worker's cores that each filling image has used in the window of the newest measurement. */
function getMeasuredPresence(worker: WorkerView): Presence {
  return getPresence(worker, run => run.measurement / millicoresPerCore);
}

function getPresence(worker: WorkerView, getCores: (run: Run) => number): Presence {
  const presence = new Map<string, number>();
  for (const run of getFillers(worker)) {
    const share = getCores(run) / worker.capacity.processors;
    const {image = ''} = run.task.step;
    if (share > 0) presence.set(image, (presence.get(image) ?? 0) + share);
  }
  return presence;
}

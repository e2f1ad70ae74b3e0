import {
  type ColocatedLoad,
  type LearnedPair,
  PairInterferenceModel,
} from '../../colocation/pair-interference-model.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import {type LearnedLoad, LoadForecasts} from './load-forecasts.js';

/** Workers report the processors in use in thousandths of a core. */
const millicoresPerCore = 1_000;
/** Tail latency, as a fraction of the target, that maps to a load of 0; it only sets the scale of loads. */
const idleLatencyShare = 0.2;
/** Assumed utilization of a serving task's reserved processors until its load has been measured. */
const assumedUtilization = 0.6;
/** Tail latency, as a fraction of the target, up to which filling tasks may push a serving task. */
export const maxTargetShare = 0.85;
/** Load above which the tail latency no longer shows how overloaded a task is. */
const saturatedLoad = 0.93;
/** Forecast horizon in milliseconds for pacing; slowing down a filling task takes less time than this. */
const forecastMs = 1_000;
/** Length of a measurement window in milliseconds, and the delay from its end to the report. */
const measurementWindowMs = 500;
const reportLagMs = 100;
/** Minimum time in milliseconds between two used measurements of a worker, so that their windows hardly overlap. */
const minObservationIntervalMs = 400;
/** Maximum age in milliseconds of the latencies from which a reported measurement was made. */
export const measurementAgeMs = measurementWindowMs + reportLagMs;
/** Time in milliseconds in which queued requests drain. */
export const drainMs = 1_500;
/** Drop in pressure after which a queue is assumed. */
const minPressureDrop = 0.1;
/** Safety margin: number of standard deviations added to the mean of a pressure. */
const margin = 0.25;
/** Minimum assumed pressure of a filling image that uses all cores of a worker. */
const minPressure = 0.02;
/** Relative standard deviation of a measured tail latency, and the minimum standard deviation of a load. */
const latencyNoiseShare = 0.06;
const minLoadNoise = 0.02;

/** Serving tasks of one step on one worker; they serve the same users, so their loads are similar. */
export interface ServingGroup {
  readonly key: string;
  readonly image: string;
  readonly targetMs: number;
  /** Median tail latency of the tasks in milliseconds; 0 when none was measured. */
  readonly tailMs: number;
}

/** The properties of a filling task that determine how much it slows down serving tasks. */
export interface FillingLoad {
  readonly image?: string | undefined;
  /** Fraction of its worker's cores that it uses at full pace. */
  readonly coreShare: number;
}

/** Learned pressures of pairs of images, and loads of serving steps. */
export interface LearnedInterference {
  readonly pairs: readonly LearnedPair[];
  readonly loads: readonly LearnedLoad[];
}

/** Time of a worker's latest used measurement, and the fraction of its cores that each filling image used then. */
interface Measurement {
  readonly at: number;
  readonly colocatedLoad: ColocatedLoad;
}

/**
 * Learns how much filling tasks slow down the serving tasks on the same worker, and estimates how much more filling
 * work a worker can run. As in a simple queueing model, the reciprocal of a serving task's tail latency falls linearly
 * with its load. Each filling task adds to that load the fraction of the worker's cores that it uses, times a pressure
 * that is learned for each pair of a serving and a filling image.
 */
export class InterferenceModel {
  /** Pressure of each pair: load added to the serving image by the filling image on all cores of a worker. */
  private readonly model = new PairInterferenceModel({
    priorMean: 0.8,
    priorDeviation: 1,
    halfLifeMs: 1_800_000,
    knownDeviation: 0.4,
  });
  /** Loads of serving steps, without the load that filling tasks add. */
  private readonly loads = new LoadForecasts();
  private readonly measurements = new WeakMap<WorkerView, Measurement>();

  /** Learns from the latest measurements of a worker; skips those within `minObservationIntervalMs` of the previous. */
  observe(worker: WorkerView, at: number): void {
    const former = this.measurements.get(worker);
    if (former !== undefined && at - former.at < minObservationIntervalMs) return;
    const colocatedLoad = getMeasuredColocatedLoad(worker);
    this.measurements.set(worker, {at, colocatedLoad});
    const recentColocatedLoad =
      former !== undefined && at - former.at < drainMs ? former.colocatedLoad : new Map();
    for (const group of getServingGroups(worker)) {
      if (group.tailMs <= 0) continue;
      if (!this.isQueueDraining(group, recentColocatedLoad, colocatedLoad, at))
        this.observeGroup(group, colocatedLoad, at);
    }
  }

  /** Whether requests queued under an earlier, higher pressure may still raise the tail latency. */
  private isQueueDraining(
    group: ServingGroup,
    recentColocatedLoad: ColocatedLoad,
    colocatedLoad: ColocatedLoad,
    at: number,
  ): boolean {
    const earlierPressure = this.sumPressure(group.image, recentColocatedLoad, at, 0);
    return earlierPressure > this.sumPressure(group.image, colocatedLoad, at, 0) + minPressureDrop;
  }

  /** Returns what is known of at most `maxPairs` pairs of images and `maxLoads` steps. */
  getLearned(at: number, maxPairs: number, maxLoads: number): LearnedInterference {
    return {
      pairs: this.model.getLearned(at, maxPairs),
      loads: this.loads.getLearned(at, maxLoads),
    };
  }

  /** Continues with what another process had learned at `at`; returns the number of items that were used. */
  restore({pairs, loads}: LearnedInterference, at: number): number {
    const usedPairs = pairs.filter(pair => this.model.restore(pair, at));
    const usedLoads = loads.filter(load => this.loads.restore(load, at));
    return usedPairs.length + usedLoads.length;
  }

  /** Forgets the loads of serving steps that have ended. */
  retain(isActive: (key: string) => boolean): void {
    this.loads.retain(isActive);
  }

  /** Returns the load, with a safety margin, that a filling task at full pace adds to a group. */
  getPressure(group: ServingGroup, filling: FillingLoad, at: number): number {
    return this.getUnitPressure(group.image, filling.image ?? '', at, margin) * filling.coreShare;
  }

  /** Whether the pressure of a filling image on a serving image has been measured. */
  isPairMeasured(serving: string, filling: string | undefined, at: number): boolean {
    return this.model.isKnown(serving, filling ?? '', at);
  }

  /** Returns the load, with a safety margin, that all filling tasks of a worker add to a group at their current pace. */
  getTotalPressure(worker: WorkerView, group: ServingGroup, at: number): number {
    return this.sumPressure(group.image, getAllowedColocatedLoad(worker), at, margin);
  }

  /** Returns the expected utilization, from 0 to 1, of the processors that a serving task reserves. */
  getExpectedUtilization(run: Run, at: number): number {
    const key = getServingStepKey(run);
    if (!this.loads.has(key)) return assumedUtilization;
    return Math.max(0, Math.min(1, this.loads.estimate(key, at).load));
  }

  /** Returns the load that filling tasks may add to a group within the next second (`forecastMs`). */
  getPressureBudget(group: ServingGroup, at: number): number {
    return this.getSustainedPressureBudget(group, forecastMs, at);
  }

  /** Returns the load that filling tasks may add to a group throughout the next `durationMs` milliseconds. */
  getSustainedPressureBudget(group: ServingGroup, durationMs: number, at: number): number {
    // A group that has not been measured yet may be at its peak.
    if (!this.loads.has(group.key)) return 0;
    const limit = 1 - idleLatencyShare / maxTargetShare;
    return Math.max(0, limit - this.loads.getHighest(group.key, at, durationMs));
  }

  /**
   * Learns from the tail latency of one group. The measured load minus the forecast updates the pressures of the
   * filling images; the measured load minus their estimated pressure updates the forecast.
   */
  private observeGroup(group: ServingGroup, colocatedLoad: ColocatedLoad, at: number): void {
    const measured = 1 - (idleLatencyShare * group.targetMs) / group.tailMs;
    const pressure = this.sumPressure(group.image, colocatedLoad, at, 0);
    const load = measured - pressure;
    const noise = latencyNoiseShare * (1 - measured) + minLoadNoise;
    const deviation = Math.hypot(noise, this.getPressureDeviation(group.image, colocatedLoad, at));
    const measuredAt = at - reportLagMs - measurementWindowMs / 2;
    if (!this.loads.has(group.key)) {
      this.loads.update(group.key, load, deviation, measuredAt);
      return;
    }
    const forecast = this.loads.estimate(group.key, measuredAt);
    const isSaturated = measured >= saturatedLoad;
    const excess = measured - forecast.load;
    // The measured load of a saturated task is only a lower bound, so it may only raise the pressures.
    if (!isSaturated || pressure < excess) {
      const effectDeviation = Math.hypot(noise, forecast.deviation);
      this.model.observeEffect(group.image, colocatedLoad, excess, at, effectDeviation);
    }
    if (!isSaturated) this.loads.update(group.key, load, deviation, measuredAt);
  }

  /** Standard deviation of the pressure of filling work on a serving image. */
  private getPressureDeviation(serving: string, colocatedLoad: ColocatedLoad, at: number): number {
    let variance = 0;
    for (const [image, share] of colocatedLoad) {
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
    colocatedLoad: ColocatedLoad,
    at: number,
    deviationFactor: number,
  ): number {
    let sum = 0;
    for (const [image, share] of colocatedLoad) {
      sum += share * this.getUnitPressure(serving, image, at, deviationFactor);
    }
    return sum;
  }
}

/** Returns the key of the step to which a run of a serving task belongs. */
export function getServingStepKey(run: Run): string {
  const {submission, occurrence, stepIndex} = run.task;
  return `${submission.id}.${occurrence}.${stepIndex}`;
}

/** Returns the runs of serving tasks with a latency target on a worker. */
export function getServingRuns(worker: WorkerView): Run[] {
  return [...worker.runs.values()].filter(({task: {step}}) => {
    return step.lasting && !step.fills && step.tailTargetMs !== undefined;
  });
}

/** Returns the serving tasks with a latency target on a worker, by step. */
export function getServingGroups(worker: WorkerView): ServingGroup[] {
  const groups = new Map<string, Run[]>();
  for (const run of getServingRuns(worker)) {
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

/** Returns the runs of filling tasks on a worker. */
export function getFillers(worker: WorkerView): Run[] {
  const fillers: Run[] = [];
  for (const run of worker.runs.values()) if (run.task.step.fills) fillers.push(run);
  return fillers;
}

/** Returns the fraction of a worker's cores that each filling image may use at the commanded pace. */
function getAllowedColocatedLoad(worker: WorkerView): ColocatedLoad {
  return sumColocatedLoad(worker, run => (run.task.step.need.processors * run.pace) / 100);
}

/** Returns the fraction of a worker's cores that each filling image used in the latest measurement window. */
function getMeasuredColocatedLoad(worker: WorkerView): ColocatedLoad {
  return sumColocatedLoad(worker, run => run.measurement / millicoresPerCore);
}

function sumColocatedLoad(worker: WorkerView, getCores: (run: Run) => number): ColocatedLoad {
  const colocatedLoad = new Map<string, number>();
  for (const run of getFillers(worker)) {
    const share = getCores(run) / worker.capacity.processors;
    const {image = ''} = run.task.step;
    if (share > 0) colocatedLoad.set(image, (colocatedLoad.get(image) ?? 0) + share);
  }
  return colocatedLoad;
}

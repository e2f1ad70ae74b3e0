import {DisturbanceModel, type Presence} from '../../colocation/disturbance-model.js';
import {PresenceHistory} from '../../colocation/presence-history.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import {type LoadEstimate, LoadTracker} from './load-tracker.js';

/** Part of its target that the tail latency of an unloaded serving task is assumed to be until it is measured. */
const unloadedShare = 0.2;
/** Part of the lowest measured tail latency that would remain without any load. */
const lowestTailShare = 0.8;
/** Part of its target that a serving task may reach by the tasks beside it. */
const targetShare = 0.85;
/** Bounds of a load that is derived from a tail latency. */
const lowestLoad = 0.05;
const highestLoad = 0.97;
/** Load from which on a tail latency does not tell any more how far a task is overloaded. */
const saturatedLoad = 0.93;
/** Time in milliseconds for which the load is extrapolated; a filling task is paced down within it. */
const foresightMs = 1_000;
/** Window of a measurement in milliseconds before its report. */
const windowMs = 500;
const lagMs = 100;
/** Shortest time in milliseconds between two measurements of a worker that are used. */
const observeMs = 400;
/** Time in milliseconds in which a backlog of requests drains, and the fall of pressure that leaves one. */
const drainMs = 1_500;
const drainPressure = 0.15;
/** Part of the deviation of a pressure that is added to its mean, as a caution. */
const caution = 0.25;
/** Standard deviation of a tail latency as a part of it, and the least deviation of a load. */
const tailNoise = 0.06;
const smallestLoadNoise = 0.02;
/** Standard deviation of the measured excess of a load that is known. */
const excessNoise = 0.1;

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
  readonly cores: number;
}

/**
 * Learns how much filling tasks disturb serving tasks, and tells how many more a worker bears. The tail latency
 * of a serving task grows as `base / (1 - load)`; each core of filling work beside it multiplies the load by
 * `1 + pressure`, and the pressure is learned for each pair of images.
 */
export class Interference {
  /** Pressure of a core of each filling image on each serving image. */
  private readonly model = new DisturbanceModel({
    priorMean: 0.15,
    priorDeviation: 0.25,
    halfLifeMs: 120_000,
    noiseDeviation: excessNoise,
  });
  private readonly lowestTails = new Map<string, number>();
  /** Loads of serving steps without the filling tasks beside them. */
  private readonly loads = new Map<string, LoadTracker>();
  private readonly observedAt = new WeakMap<WorkerView, number>();
  private readonly histories = new WeakMap<WorkerView, PresenceHistory>();

  /** Notes that the filling tasks of a worker or their pace have changed. */
  change(worker: WorkerView, at: number): void {
    this.getHistory(worker).add(getPresence(worker), at);
  }

  /** Takes in the newest measurements of a worker; those of overlapping windows tell nothing new. */
  observe(worker: WorkerView, at: number): void {
    if (at - (this.observedAt.get(worker) ?? Number.NEGATIVE_INFINITY) < observeMs) return;
    this.observedAt.set(worker, at);
    const to = at - lagMs;
    const presence = this.getHistory(worker).getHeldAverage(to - windowMs, to);
    const recent = this.getHistory(worker).getHeldAverage(at - drainMs, at);
    for (const group of getServingGroups(worker)) {
      if (group.tailMs <= 0) continue;
      const isDraining = this.isDraining(group, recent, presence, at);
      this.observeGroup(group, isDraining ? undefined : presence, at);
    }
    this.change(worker, at);
  }

  /** After a higher pressure, requests that have piled up keep the tail high for a while. */
  private isDraining(
    group: ServingGroup,
    recent: Presence,
    presence: Presence,
    at: number,
  ): boolean {
    const before = this.sumPressure(group.image, recent, at, 0);
    return before > this.sumPressure(group.image, presence, at, 0) + drainPressure;
  }

  /** Forgets the loads of serving steps that have ended. */
  retain(isActive: (key: string) => boolean): void {
    for (const key of this.loads.keys()) if (!isActive(key)) this.loads.delete(key);
  }

  /** Pressure of a filling task at full pace on one group. */
  getPressure(group: ServingGroup, filling: FillingLoad, at: number): number {
    return this.getCorePressure(group.image, filling.image ?? '', at, caution) * filling.cores;
  }

  /** Whether the pressure of a filling image on a serving image has been measured. */
  isKnown(serving: string, filling: string | undefined, at: number): boolean {
    return this.model.isKnown(serving, filling ?? '', at);
  }

  /** Sum of the pressures of all filling tasks of a worker on a group at their present pace. */
  getPressureOn(worker: WorkerView, group: ServingGroup, at: number): number {
    return this.sumPressure(group.image, getPresence(worker), at, caution);
  }

  /** Pressure that a group bears now and for the next second. */
  getBudget(group: ServingGroup, at: number): number {
    const tracker = this.loads.get(group.key);
    // A group that has not been measured yet may be at its peak.
    if (tracker === undefined) return 0;
    return this.getBudgetAt(group, tracker.getHighest(at, foresightMs));
  }

  /** Pressure that a group is expected to bear for the time in milliseconds that a filling task takes. */
  getLastingBudget(group: ServingGroup, durationMs: number, at: number): number {
    const tracker = this.loads.get(group.key);
    if (tracker === undefined) return 0;
    return this.getBudgetAt(group, tracker.getHighest(at, durationMs));
  }

  private getBudgetAt(group: ServingGroup, load: number): number {
    const limit = 1 - this.getBase(group) / (group.targetMs * targetShare);
    return Math.max(0, limit / load - 1);
  }

  private observeGroup(group: ServingGroup, presence: Presence | undefined, at: number): void {
    const lowest = this.lowestTails.get(group.image);
    if (lowest === undefined || group.tailMs < lowest) {
      this.lowestTails.set(group.image, group.tailMs);
    }
    if (presence === undefined) return;
    const measured = this.getMeasuredLoad(group);
    const pressure = this.sumPressure(group.image, presence, at, 0);
    const doubt = this.getDoubt(group.image, presence, at);
    const load = measured / (1 + pressure);
    const noise = tailNoise * (1 - measured) + smallestLoadNoise;
    const deviation = Math.hypot(noise, (load * doubt) / (1 + pressure));
    const middle = at - lagMs - windowMs / 2;
    const tracker = this.loads.get(group.key);
    if (tracker === undefined) {
      this.loads.set(group.key, new LoadTracker(load, deviation, middle));
      return;
    }
    const known = tracker.estimate(middle);
    this.learn(group, presence, measured, known, at);
    // A saturated task tells no load.
    if (measured < saturatedLoad) tracker.update(load, deviation, middle);
  }

  private learn(
    group: ServingGroup,
    presence: Presence,
    measured: number,
    known: LoadEstimate,
    at: number,
  ): void {
    if (presence.size === 0) return;
    const excess = measured / known.load - 1;
    if (measured >= saturatedLoad && this.sumPressure(group.image, presence, at, 0) >= excess) {
      return;
    }
    const doubt = (known.deviation / known.load) * (1 + Math.max(0, excess));
    this.model.observe(group.image, presence, Math.exp(excess), at, 1 + doubt / excessNoise);
  }

  /** Standard deviation of the pressure of filling work on a serving image. */
  private getDoubt(serving: string, presence: Presence, at: number): number {
    let variance = 0;
    for (const [image, cores] of presence) {
      variance += (cores * this.model.getDeviation(serving, image, at)) ** 2;
    }
    return Math.sqrt(variance);
  }

  private getHistory(worker: WorkerView): PresenceHistory {
    let history = this.histories.get(worker);
    if (history === undefined) this.histories.set(worker, (history = new PresenceHistory()));
    return history;
  }

  private getCorePressure(
    serving: string,
    filling: string,
    at: number,
    cautionShare: number,
  ): number {
    const mean = this.model.getMean(serving, filling, at);
    const deviation = this.model.getDeviation(serving, filling, at);
    return Math.max(0.005, mean + cautionShare * deviation);
  }

  private sumPressure(
    serving: string,
    presence: Presence,
    at: number,
    cautionShare: number,
  ): number {
    let sum = 0;
    for (const [image, cores] of presence) {
      sum += cores * this.getCorePressure(serving, image, at, cautionShare);
    }
    return sum;
  }

  private getBase(group: ServingGroup): number {
    const lowest = this.lowestTails.get(group.image);
    const assumed = group.targetMs * unloadedShare;
    return lowest === undefined ? assumed : Math.min(assumed * 1.5, lowest * lowestTailShare);
  }

  private getMeasuredLoad(group: ServingGroup): number {
    return Math.min(highestLoad, Math.max(lowestLoad, 1 - this.getBase(group) / group.tailMs));
  }
}

/** Returns the key of a serving step. */
export function getServingKey(run: Run): string {
  const {submission, occurrence, stepIndex} = run.task;
  return `${submission.id}.${occurrence}.${stepIndex}`;
}

/** Returns the serving tasks with a latency target on a worker, by step. */
export function getServingGroups(worker: WorkerView): ServingGroup[] {
  const groups = new Map<string, Run[]>();
  for (const run of worker.runs.values()) {
    const {step} = run.task;
    if (!step.lasting || step.fills || step.tailTargetMs === undefined) continue;
    const key = getServingKey(run);
    const group = groups.get(key);
    if (group) group.push(run);
    else groups.set(key, [run]);
  }
  return [...groups].map(([key, runs]) => {
    const tails = runs
      .filter(run => run.percent >= 100 && run.figure > 0)
      .map(run => run.figure)
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

/** Cores of filling work on a worker by image, at the present pace. */
function getPresence(worker: WorkerView): Map<string, number> {
  const presence = new Map<string, number>();
  for (const run of getFillers(worker)) {
    const {image = '', need} = run.task.step;
    const cores = (need.processors * run.pace) / 100;
    if (cores > 0) presence.set(image, (presence.get(image) ?? 0) + cores);
  }
  return presence;
}

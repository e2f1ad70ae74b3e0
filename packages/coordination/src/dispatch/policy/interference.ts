import {DisturbanceModel, type Presence} from '../../colocation/disturbance-model.js';
import type {Run} from '../task.js';
import type {WorkerView} from '../worker-view.js';

/** Part of its target that the tail latency of an unloaded serving task is assumed to be until it is measured. */
const unloadedShare = 0.2;
/** Part of the lowest measured tail latency that would remain without any load. */
const lowestTailShare = 0.8;
/** Part of its target that a serving task may reach by the tasks beside it. */
const targetShare = 0.8;
/** Bounds of a load that is derived from a tail latency. */
const lowestLoad = 0.05;
const highestLoad = 0.97;
/** Time in milliseconds for which the load is extrapolated; a filling task is paced down within it. */
const foresightMs = 1_200;
/** Fastest change of a load in a millisecond that is extrapolated. */
const steepestSlope = 0.0002;
/** Time in milliseconds after a change of the filling tasks before measurements show it. */
const settleMs = 900;
/** Age in milliseconds of the measurement of another group that still counts. */
const siblingAgeMs = 1_200;
/** Widening of the measurement noise when the load is extrapolated and not measured elsewhere. */
const extrapolatedNoise = 2.5;
/** Part of the deviation of a pressure that is added to its mean, as a caution. */
const caution = 0.5;

/** Serving tasks of one step on one worker; they share their users, so their loads are alike. */
export interface ServingGroup {
  readonly key: string;
  readonly image: string;
  readonly targetMs: number;
  /** Median tail latency of the tasks in milliseconds; 0 when none was measured. */
  readonly tailMs: number;
}

interface GroupLoad {
  /** Load without the filling tasks beside it. */
  load: number;
  /** Change of the load in a millisecond. */
  slope: number;
  /** Load as measured, with the filling tasks. */
  measured: number;
  /** Pressure of the filling tasks when it was measured. */
  pressure: number;
  measuredAt: number;
}

/**
 * Learns how much filling tasks disturb serving tasks, and tells how many more a worker bears. The tail latency
 * of a serving task grows as `base / (1 - load)`; each core of filling work beside it multiplies the load by
 * `1 + pressure`, and the pressure is learned for each pair of images.
 */
export class Interference {
  /** Pressure of a core of each filling image on each serving image. */
  private readonly model = new DisturbanceModel({
    priorMean: 0.1,
    priorDeviation: 0.12,
    halfLifeMs: 300_000,
    noiseDeviation: 0.12,
  });
  private readonly lowestTails = new Map<string, number>();
  /** Loads by worker and group. */
  private readonly loads = new WeakMap<WorkerView, Map<string, GroupLoad>>();
  /** Workers that have groups, to find the other groups of a step. */
  private readonly workersOfGroup = new Map<string, Set<WorkerView>>();
  private readonly changedAt = new WeakMap<WorkerView, number>();

  /** Notes that the filling tasks of a worker or their pace have changed. */
  change(worker: WorkerView, at: number): void {
    this.changedAt.set(worker, at);
  }

  /** Takes in the newest measurements of a worker. */
  observe(worker: WorkerView, at: number): void {
    const groups = getServingGroups(worker);
    const known = this.getLoads(worker);
    for (const key of known.keys()) {
      if (groups.some(group => group.key === key)) continue;
      known.delete(key);
      this.workersOfGroup.get(key)?.delete(worker);
    }
    const presence = getPresence(worker);
    for (const group of groups) if (group.tailMs > 0) this.observeGroup(worker, group, presence, at);
  }

  /** Pressure of a filling task at full pace on one group. */
  getPressure(group: ServingGroup, run: {readonly image?: string; readonly cores: number}, at: number) {
    return this.getCorePressure(group.image, run.image ?? '', at) * run.cores;
  }

  /** Sum of the pressures of all filling tasks of a worker on a group at their present pace. */
  getPressureOn(worker: WorkerView, group: ServingGroup, at: number): number {
    return this.sumPressure(group.image, getPresence(worker), at);
  }

  /** Pressure that a group bears. */
  getBudget(worker: WorkerView, group: ServingGroup, at: number): number {
    const limit = 1 - this.getBase(group) / (group.targetMs * targetShare);
    const known = this.loads.get(worker)?.get(group.key);
    // A group that has not been measured yet may be at its peak.
    if (known === undefined) return 0;
    const age = Math.min(foresightMs, at - known.measuredAt);
    const load = known.load + Math.max(0, known.slope) * (foresightMs + age);
    return Math.max(0, limit / Math.max(lowestLoad, load) - 1);
  }

  private observeGroup(
    worker: WorkerView,
    group: ServingGroup,
    presence: Presence,
    at: number,
  ): void {
    const lowest = this.lowestTails.get(group.image);
    if (lowest === undefined || group.tailMs < lowest) this.lowestTails.set(group.image, group.tailMs);
    const measured = this.getMeasuredLoad(group);
    const isSettled = at - (this.changedAt.get(worker) ?? 0) >= settleMs;
    const before = this.getLoads(worker).get(group.key);
    if (isSettled && presence.size > 0) this.learn(worker, group, presence, measured, before, at);
    const pressure = this.sumPressure(group.image, presence, at, 0);
    const sibling = this.getSiblingLoad(worker, group.key, pressure, at);
    let load = sibling ?? measured / (1 + pressure);
    // The tail still shows filling tasks that were paced down or have left.
    if (!isSettled && sibling === undefined && before) load = Math.min(load, extrapolate(before, at));
    this.setLoad(worker, group.key, {load, measured, pressure, at});
  }

  private learn(
    worker: WorkerView,
    group: ServingGroup,
    presence: Presence,
    measured: number,
    before: GroupLoad | undefined,
    at: number,
  ): void {
    const pressure = this.sumPressure(group.image, presence, at, 0);
    const sibling = this.getSiblingLoad(worker, group.key, pressure, at);
    if (sibling !== undefined) {
      this.model.observe(group.image, presence, Math.exp(measured / sibling - 1), at);
    } else if (before !== undefined) {
      const expected = Math.max(lowestLoad, extrapolate(before, at));
      const ratio = Math.exp(measured / expected - 1);
      this.model.observe(group.image, presence, ratio, at, extrapolatedNoise);
    }
  }

  /** Load of the same step where the least filling work disturbs it, if that is less than here. */
  private getSiblingLoad(
    worker: WorkerView,
    key: string,
    pressure: number,
    at: number,
  ): number | undefined {
    let best: GroupLoad | undefined;
    for (const other of this.workersOfGroup.get(key) ?? []) {
      if (other === worker || at - (this.changedAt.get(other) ?? 0) < settleMs) continue;
      const candidate = this.loads.get(other)?.get(key);
      if (!candidate || at - candidate.measuredAt > siblingAgeMs) continue;
      if (candidate.pressure < (best?.pressure ?? pressure)) best = candidate;
    }
    return best && best.measured / (1 + best.pressure);
  }

  private getCorePressure(serving: string, filling: string, at: number, cautionShare = caution): number {
    const mean = this.model.getMean(serving, filling, at);
    const deviation = this.model.getScore(serving, filling, at) - mean;
    return Math.max(0.005, mean + cautionShare * deviation);
  }

  private sumPressure(
    serving: string,
    presence: Presence,
    at: number,
    cautionShare = caution,
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

  private getLoads(worker: WorkerView): Map<string, GroupLoad> {
    let loads = this.loads.get(worker);
    if (loads === undefined) this.loads.set(worker, (loads = new Map()));
    return loads;
  }

  private setLoad(
    worker: WorkerView,
    key: string,
    next: {load: number; measured: number; pressure: number; at: number},
  ): void {
    const {load, measured, pressure, at} = next;
    const loads = this.getLoads(worker);
    const known = loads.get(key);
    if (known === undefined) {
      loads.set(key, {load, slope: 0, measured, pressure, measuredAt: at});
      const workers = this.workersOfGroup.get(key) ?? new Set();
      this.workersOfGroup.set(key, workers.add(worker));
      return;
    }
    const slope = (load - known.load) / Math.max(1, at - known.measuredAt);
    const bounded = Math.max(-steepestSlope, Math.min(steepestSlope, slope));
    known.slope += (bounded - known.slope) / 2;
    Object.assign(known, {load, measured, pressure, measuredAt: at});
  }
}

function extrapolate(known: GroupLoad, at: number): number {
  return known.load + known.slope * Math.min(2 * foresightMs, at - known.measuredAt);
}

/** Returns the serving tasks with a latency target on a worker, by step. */
export function getServingGroups(worker: WorkerView): ServingGroup[] {
  const groups = new Map<string, Run[]>();
  for (const run of worker.runs.values()) {
    const {step, submission, stepIndex} = run.task;
    if (!step.lasting || step.fills || step.tailTargetMs === undefined) continue;
    const key = `${submission.id}.${run.task.occurrence}.${stepIndex}`;
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

import type {Step} from '../../submissions/index.js';
import {lateValueShare} from './submission-value.js';

/** Ranks per factor of two in density; the steps are about 19%. */
const ranksPerDoubling = 4;

/** Largest number of points of a curve, so that the backlogs stay small messages. */
const maxPoints = 6;

/** Slack in milliseconds below which waiting work counts as equally close to its deadline; run times are not known better. */
const minSlackMs = 1_000;

/** Work of one submission that waits, as the owner sees it. */
export interface WaitingItem {
  readonly density: number;
  /** Processor time of its tasks without a run, in core-milliseconds. */
  readonly coreMs: number;
  /** Value within its objective. */
  readonly value: number;
  /** Time in milliseconds for which it can wait without losing value. */
  readonly slackMs: number;
}

/** Kinds of work by the processors that it uses: reserved ones, or those that other tasks leave unused. */
export const workKinds = ['reserving', 'filling'] as const;
export type WorkKind = (typeof workKinds)[number];

/** Returns the kind of the work of a submission. */
export function getWorkKind(steps: readonly Step[]): WorkKind {
  return steps.some(step => step.fills) ? 'filling' : 'reserving';
}

/** Waiting work of similar density. */
export interface WaitingPoint {
  /** Rank of the least dense work of the class; see `getDensityRank`. */
  readonly rank: number;
  /** Expected time in milliseconds until all work of this class and denser, and all more urgent work, has started. */
  readonly waitMs: number;
  /** Value that this class loses for each second by which it is delayed. */
  readonly lossPerSecond: number;
}

/** Waiting work of one priority that can still meet its objectives, and the processors that it gets. */
export interface WaitingCurve {
  readonly cores: number;
  /** Expected time in milliseconds until all more urgent work has started. */
  readonly urgentWaitMs: number;
  /** Classes of waiting work, densest first. */
  readonly points: readonly WaitingPoint[];
}

/** Returns the rank of a density on a logarithmic scale: an integer that grows as the density falls. */
export function getDensityRank(density: number): number {
  return Math.round(-Math.log2(density) * ranksPerDoubling);
}

/** Options of `createWaitingCurve`. */
export interface WaitingCurveOptions {
  /** Processors that the work gets. */
  readonly cores: number;
  /** Processor time in core-milliseconds of all more urgent waiting work. */
  readonly urgentCoreMs: number;
  readonly items: readonly WaitingItem[];
}

/** Summarizes waiting work by density, so that a new submission can be compared with the work placed before it. */
export function createWaitingCurve(options: WaitingCurveOptions): WaitingCurve {
  const {cores, urgentCoreMs} = options;
  if (cores <= 0) return {cores: 0, urgentWaitMs: 0, points: []};
  const items = [...options.items].sort((a, b) => b.density - a.density);
  const totalCoreMs = items.reduce((sum, {coreMs}) => sum + coreMs, 0);
  const points: WaitingPoint[] = [];
  let coreMs = urgentCoreMs;
  let lossPerSecond = 0;
  items.forEach((item, index) => {
    const startsInMs = coreMs / cores;
    coreMs += item.coreMs;
    const plannedSlackMs = item.slackMs - startsInMs;
    // Work that is late anyway loses nothing more by a further delay.
    if (plannedSlackMs >= 0) {
      const loss = item.value * (1 - lateValueShare);
      lossPerSecond += (loss * 1_000) / Math.max(minSlackMs, plannedSlackMs);
    }
    const share = (coreMs - urgentCoreMs) / totalCoreMs;
    const isLast = index === items.length - 1;
    if (share < (points.length + 1) / maxPoints && !isLast) return;
    const rank = getDensityRank(item.density);
    points.push({rank, waitMs: coreMs / cores, lossPerSecond});
    lossPerSecond = 0;
  });
  return {cores, urgentWaitMs: urgentCoreMs / cores, points};
}

/** Returns the expected time in milliseconds until all work that goes before a new submission of this rank has started. */
export function getWaitAhead({urgentWaitMs, points}: WaitingCurve, rank: number): number {
  let waitMs = urgentWaitMs;
  for (const point of points) {
    if (point.rank > rank) break;
    waitMs = point.waitMs;
  }
  return waitMs;
}

/** Returns the value that waiting work loses for each second by which a new submission of this rank delays it. */
export function getLossBehind({points}: WaitingCurve, rank: number): number {
  let loss = 0;
  for (const point of points) if (point.rank > rank) loss += point.lossPerSecond;
  return loss;
}

import type {LearnedPair} from '../../colocation/pair-interference-model.js';
import {isRecord} from '../../findings/index.js';
import type {LearnedLoad} from '../interference/load-forecasts.js';
import type {LearnedEvidence} from '../supervision/worker-evidence.js';
import {
  type LearnedRunTimes,
  type LearnedState,
  type LearnedWorker,
  maxLearnedLoads,
  maxLearnedPairs,
  maxLearnedRunTimes,
  maxLearnedWorkers,
} from './learned-state.js';

/** Longest name in characters. */
const maxNameLength = 400;
/** Largest number of observations of run times, and of values of one load. */
const maxCount = 1e9;
const maxSums = 2_000;
/** Largest absolute value of the logarithm of a ratio of run times, of a pressure, and of any other value. */
const maxLogRatio = 7;
const maxPressure = 20;
const maxValue = 1e9;
/** Range of the slowness of a worker; its supervision bounds it by 10. */
const minSlowness = 0.05;
const maxSlowness = 10;
/** Largest number of suspensions in a row, and longest time in milliseconds of a record. */
const maxSuspensions = 20;
const maxAgeMs = 86_400_000;

/** The valid part of what another process sent, and the number of items that were left out. */
export interface LearnedStateCheck {
  readonly learned: LearnedState;
  readonly ignored: number;
}

/** Checks what another process has learned, field by field. Malformed items and those beyond the limits are left out. */
export function checkLearnedState(value: unknown): LearnedStateCheck {
  const fields = isRecord(value) ? value : {};
  const runTimes = checkItems(fields.runTimes, maxLearnedRunTimes, toRunTimes);
  const pairs = checkItems(fields.pairs, maxLearnedPairs, toPair);
  const loads = checkItems(fields.loads, maxLearnedLoads, toLoad);
  const workers = checkItems(fields.workers, maxLearnedWorkers, toWorker);
  const ignored = [runTimes, pairs, loads, workers].reduce((sum, list) => sum + list.ignored, 0);
  return {
    learned: {
      runTimes: runTimes.items,
      pairs: pairs.items,
      loads: loads.items,
      workers: workers.items,
    },
    ignored: ignored + (isRecord(value) ? 0 : 1),
  };
}

function checkItems<Item>(
  value: unknown,
  limit: number,
  convert: (item: Readonly<Record<string, unknown>>) => Item | undefined,
): {readonly items: readonly Item[]; readonly ignored: number} {
  if (value === undefined) return {items: [], ignored: 0};
  if (!Array.isArray(value)) return {items: [], ignored: 1};
  const items: Item[] = [];
  for (const item of value.slice(0, limit) as unknown[]) {
    const converted = isRecord(item) ? convert(item) : undefined;
    if (converted !== undefined) items.push(converted);
  }
  return {items, ignored: value.length - items.length};
}

function toRunTimes(item: Readonly<Record<string, unknown>>): LearnedRunTimes | undefined {
  const {queue, count, mean, squaredDeviations} = item;
  const isValid =
    isName(queue) &&
    isBetween(count, 0, maxCount) &&
    isBetween(mean, -maxLogRatio, maxLogRatio) &&
    isBetween(squaredDeviations, 0, maxValue);
  return isValid ? {queue, count, mean, squaredDeviations} : undefined;
}

function toPair(item: Readonly<Record<string, unknown>>): LearnedPair | undefined {
  const {service, workload, mean, deviation} = item;
  const isValid =
    isName(service) &&
    isName(workload) &&
    isBetween(mean, -maxPressure, maxPressure) &&
    isBetween(deviation, 0, maxPressure);
  return isValid ? {service, workload, mean, deviation} : undefined;
}

function toLoad(item: Readonly<Record<string, unknown>>): LearnedLoad | undefined {
  const {key, difference, misfitVariance, noiseVariance, ageMs, sums} = item;
  const areSumsValid =
    Array.isArray(sums) &&
    sums.length <= maxSums &&
    sums.every(sum => isBetween(sum, -maxValue, maxValue));
  const isValid =
    isName(key) &&
    isBetween(difference, -maxPressure, maxPressure) &&
    isBetween(misfitVariance, 0, maxValue) &&
    isBetween(noiseVariance, 0, maxValue) &&
    isBetween(ageMs, 0, maxAgeMs);
  if (!isValid || !areSumsValid) return undefined;
  return {key, difference, misfitVariance, noiseVariance, ageMs, sums: sums as number[]};
}

function toWorker(item: Readonly<Record<string, unknown>>): LearnedWorker | undefined {
  const {life, slowness, evidence} = item;
  if (!isName(life) || !isBetween(slowness, minSlowness, maxSlowness)) return undefined;
  if (evidence === undefined) return {life, slowness};
  const checked = isRecord(evidence) ? toEvidence(evidence) : undefined;
  return checked && {life, slowness, evidence: checked};
}

function toEvidence(item: Readonly<Record<string, unknown>>): LearnedEvidence | undefined {
  const {failureScore, suspensions, suspendedMs, failureAgeMs} = item;
  const isValid =
    isBetween(failureScore, 0, maxValue) &&
    isBetween(suspensions, 0, maxSuspensions) &&
    Number.isInteger(suspensions) &&
    isBetween(suspendedMs, 0, maxAgeMs);
  if (!isValid) return undefined;
  const evidence = {failureScore, suspensions, suspendedMs};
  if (failureAgeMs === undefined) return evidence;
  return isBetween(failureAgeMs, 0, maxAgeMs) ? {...evidence, failureAgeMs} : undefined;
}

function isName(value: unknown): value is string {
  return typeof value === 'string' && value.length <= maxNameLength;
}

function isBetween(value: unknown, low: number, high: number): value is number {
  return typeof value === 'number' && value >= low && value <= high;
}

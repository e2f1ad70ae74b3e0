import type {Experiment, Measure, RunResult} from '../../experiment.js';
import type {LoadScenario, OfferedSubmission} from './cost-load.js';
import {getOrders} from './order-policies.js';
import {
  AcceptAll,
  DelayCostAdmission,
  getWorkerCores,
  type Outcome,
  type Policy,
  simulate,
  SumAdmission,
} from './play-load.js';

const lateShare = 0.15;

/** Loads that exceed the capacity for a time or throughout. */
export const scenarios: readonly LoadScenario[] = [
  {
    name: 'bursts of batches',
    workers: 12,
    smallPerSecond: 3,
    batchesPerSecond: 1.9,
    smallBurst: 1,
    batchBurst: 2.6,
    sizeSpread: 0.8,
    estimateError: 0.2,
    checkpointShare: 0.8,
  },
  {
    name: 'bursts of small submissions',
    workers: 12,
    smallPerSecond: 12,
    batchesPerSecond: 1.6,
    smallBurst: 8,
    batchBurst: 1,
    sizeSpread: 0.8,
    estimateError: 0.2,
    checkpointShare: 0.8,
  },
  {
    name: 'overload of very uneven sizes, wrong estimates',
    workers: 12,
    smallPerSecond: 5,
    batchesPerSecond: 3.2,
    smallBurst: 4,
    batchBurst: 1.6,
    sizeSpread: 1.2,
    estimateError: 0.7,
    checkpointShare: 0.5,
  },
];

/** Returns the rules that are compared on workers with `cores` processors together. */
export function getPolicies(cores: number): Policy[] {
  return [
    {name: 'baseline today', timing: {}, createAdmission: () => new SumAdmission()},
    {name: 'baseline today, all accepted', timing: {}, createAdmission: () => new AcceptAll()},
    {name: 'cost', timing: {scheduling: 'cost'}, createAdmission: () => new DelayCostAdmission()},
    {
      name: 'cost, all accepted',
      timing: {scheduling: 'cost'},
      createAdmission: () => new AcceptAll(),
    },
    ...getOrders(cores).map(([name, order]): Policy => ({
      name: `${name}, all accepted`,
      timing: {scheduling: 'cost'},
      order,
      createAdmission: () => new AcceptAll(),
    })),
  ];
}

/** Shares of a set of submissions that were in time, and of the value that their callers got. */
interface Shares {
  readonly inTime: number;
  readonly value: number;
  readonly refused: number;
}

function getShares({simulation, refused}: Outcome, set: readonly OfferedSubmission[]): Shares {
  let inTime = 0;
  let earned = 0;
  let total = 0;
  let refusals = 0;
  const meanWork = set.reduce((sum, {work}) => sum + work, 0) / Math.max(1, set.length);
  for (const {id, at, work, objectiveMs} of set) {
    const value = Math.min(4, 0.3 + (0.7 * work) / meanWork);
    total += value;
    if (refused.has(id)) refusals += 1;
    const ms = (simulation.endedAt.get(id) ?? Number.POSITIVE_INFINITY) - at;
    if (ms <= objectiveMs) {
      inTime += 1;
      earned += value;
    } else if (ms <= 3 * objectiveMs) earned += value * lateShare;
  }
  const count = Math.max(1, set.length);
  return {inTime: inTime / count, value: earned / Math.max(1, total), refused: refusals / count};
}

/** Returns the share of the processor time used for a set of submissions whose callers got nothing or a late result. */
function getLateWorkShare({simulation}: Outcome, set: readonly OfferedSubmission[]): number {
  let late = 0;
  let total = 0;
  for (const {id, at, objectiveMs} of set) {
    const coreMs = simulation.usedCoreMs.get(id) ?? 0;
    total += coreMs;
    const endedAt = simulation.endedAt.get(id) ?? Number.POSITIVE_INFINITY;
    if (endedAt - at > objectiveMs) late += coreMs;
  }
  return late / Math.max(1, total);
}

/** Returns who got what. */
export function measure(outcome: Outcome): Measure[] {
  const small = outcome.offered.filter(({kind}) => kind === 'small');
  const batches = outcome.offered.filter(({kind}) => kind === 'batch');
  const sorted = [...batches].sort((a, b) => b.work - a.work);
  const tenth = Math.round(sorted.length / 10);
  const all = getShares(outcome, batches);
  const largest = getShares(outcome, sorted.slice(0, tenth));
  const next = getShares(outcome, sorted.slice(tenth, 3 * tenth));
  const rest = getShares(outcome, sorted.slice(3 * tenth));
  const {simulation} = outcome;
  const share = (name: string, value: number): Measure => ({name, unit: '', value});
  return [
    share('value of batches', all.value),
    share('value of small', getShares(outcome, small).value),
    share('batches in time', all.inTime),
    share('largest tenth in time', largest.inTime),
    share('fifth below in time', next.inTime),
    share('rest in time', rest.inTime),
    share('worst class / all', Math.min(largest.inTime, next.inTime) / Math.max(0.001, all.inTime)),
    share('batches refused', all.refused),
    share('largest tenth refused', largest.refused),
    share('work for late results', getLateWorkShare(outcome, batches)),
    {name: 'runs stopped', unit: 'runs', value: simulation.counts.get('runs_stopped') ?? 0},
    {
      name: 'time per round',
      unit: 'ms',
      value: simulation.placementMs / simulation.placementRounds,
    },
  ];
}

/** Who pays when capacity is insufficient, by the order of waiting work and the rule of admission. */
export const costOfDelayExperiment: Experiment = {
  name: 'cost-of-delay',
  title: 'Order of waiting work and admission without enough capacity, 12 workers, 90 s',
  seeds: [11, 12, 13],
  run: seed =>
    scenarios.flatMap(scenario => {
      const cores = getWorkerCores(scenario.workers).reduce((sum, count) => sum + count, 0);
      return getPolicies(cores).map((policy): RunResult => ({
        scenario: scenario.name,
        policy: policy.name,
        measures: measure(simulate(seed, scenario, policy)),
      }));
    }),
};

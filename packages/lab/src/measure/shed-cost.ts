import type {Experiment, RunResult} from './experiment.js';
import {addCallerLoads, createFloodFleet} from './flood.js';

/** Totals over one run of a flood. */
interface FloodCost {
  readonly reducerNs: number;
  readonly bytes: number;
  readonly shed: number;
  readonly answered: number;
}

/** Start of the flood; the same as in the flood experiment. */
const floodStartMs = 6000;

/** Measures the time spent in all reducers and the bytes on the link during a flood of the most urgent service. */
function measureFlood(capacityMultiple: number, seed: number, untilMs: number): FloodCost {
  const fleet = createFloodFleet('current', seed, true);
  addCallerLoads(fleet, {flood: 'most urgent', capacityMultiple}, seed);
  fleet.loop.runUntil(untilMs);
  const {data, bodies} = fleet.network.traffic;
  return {
    reducerNs: fleet.costNs,
    bytes: data + bodies,
    shed: fleet.getCount('requests-not-run-shed'),
    answered: fleet.getCount('requests-answered'),
  };
}

function measureShedCost(seed: number): RunResult {
  // Warms up the just-in-time compiler; the result is discarded.
  measureFlood(5, seed, floodStartMs * 2);
  const beforeFlood = measureFlood(1, seed, floodStartMs);
  const fiveTimes = measureFlood(5, seed, floodStartMs * 2);
  const twentyTimes = measureFlood(20, seed, floodStartMs * 2);
  const shed = twentyTimes.shed - fiveTimes.shed;
  const shedNs = (twentyTimes.reducerNs - fiveTimes.reducerNs) / shed;
  const servedNs = beforeFlood.reducerNs / beforeFlood.answered;
  const shedBytes = Math.max(0, twentyTimes.bytes - fiveTimes.bytes) / shed;
  return {
    scenario: 'most urgent x20 against x5',
    policy: 'current',
    measures: [
      {name: 'served request', unit: 'µs', value: servedNs / 1000},
      {name: 'shed request', unit: 'µs', value: shedNs / 1000},
      {name: 'shed / served time', unit: 'ratio', value: shedNs / servedNs, target: {atMost: 0.05}},
      {
        name: 'shed / served bytes on the link',
        unit: 'ratio',
        value: shedBytes / (beforeFlood.bytes / beforeFlood.answered),
        target: {atMost: 0.05},
      },
    ],
  };
}

/** Cost of a shed request relative to a served one. The times are real time and differ between runs. */
export const shedCostExperiment: Experiment = {
  name: 'shed-cost',
  title: 'Cost of a shed request (time in the reducers of all processes)',
  seeds: [11, 12, 13],
  run: seed => [measureShedCost(seed)],
};

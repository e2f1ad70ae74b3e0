import type {Experiment, RunResult} from './experiment.js';
import {addLoads, newFloodFleet} from './flood.js';

interface Cost {
  readonly ns: number;
  readonly bytes: number;
  readonly shed: number;
  readonly answered: number;
}

const floodFromMs = 6000;

/** Cost of all reducers and bytes on the link over a flood of the most urgent work. */
function measureFlood(times: number, seed: number, untilMs: number): Cost {
  const fleet = newFloodFleet('current', seed, true);
  addLoads(fleet, {flood: 'most urgent', times}, seed);
  fleet.loop.runUntil(untilMs);
  const {data, bodies} = fleet.network.traffic;
  return {
    ns: fleet.costNs,
    bytes: data + bodies,
    shed: fleet.getCount('requests-not-run-shed'),
    answered: fleet.getCount('requests-answered'),
  };
}

function runCost(seed: number): RunResult {
  // The first run warms up the compiler and is not counted.
  measureFlood(5, seed, floodFromMs * 2);
  const quiet = measureFlood(1, seed, floodFromMs);
  const five = measureFlood(5, seed, floodFromMs * 2);
  const twenty = measureFlood(20, seed, floodFromMs * 2);
  const shed = twenty.shed - five.shed;
  const shedNs = (twenty.ns - five.ns) / shed;
  const servedNs = quiet.ns / quiet.answered;
  const shedBytes = Math.max(0, twenty.bytes - five.bytes) / shed;
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
        value: shedBytes / (quiet.bytes / quiet.answered),
        target: {atMost: 0.05},
      },
    ],
  };
}

/** What a shed request costs against a served one; times are real and differ from run to run. */
export const shedCostExperiment: Experiment = {
  name: 'shed-cost',
  title: 'Cost of a shed request (time in the reducers of all processes)',
  seeds: [11, 12, 13],
  run: seed => [runCost(seed)],
};
